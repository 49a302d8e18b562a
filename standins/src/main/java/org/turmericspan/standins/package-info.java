/** Test stand-ins for the platform, the upstreams and the network between processes. Never shipped. */
package org.turmericspan.standins;
