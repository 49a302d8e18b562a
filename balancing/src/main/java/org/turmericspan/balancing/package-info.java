/**
 * Decisions of the entry nodes: routing, the state of upstreams, their selection, rate limits of cold upstreams, retry
 * and probe budgets, and requests suspected of crashing upstreams.
 */
package org.turmericspan.balancing;
