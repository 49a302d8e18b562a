/** Metrics in the text form that scrapers read. */
package org.turmericspan.metrics;
