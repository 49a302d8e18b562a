/** Metrics in the Prometheus text format. */
package org.turmericspan.metrics;
