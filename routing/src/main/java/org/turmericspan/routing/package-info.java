/** Assigns upstreams to owner nodes and grants their slots to requests. */
package org.turmericspan.routing;
