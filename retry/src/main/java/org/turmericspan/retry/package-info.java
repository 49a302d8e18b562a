/** Decides on retries, hedges and requests suspected of crashing upstreams. */
package org.turmericspan.retry;
