/** Caps on the requests of a tenant, kept by all nodes together. */
package org.turmericspan.caps;
