/** Probes of the upstreams that this node keeps, within the budget of each service. */
package org.turmericspan.probing;
