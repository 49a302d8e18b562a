/** Periodic probes of the upstreams that this node owns, within the probe budget of each service. */
package org.turmericspan.probing;
