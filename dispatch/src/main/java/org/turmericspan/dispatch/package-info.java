/** Executes calls: attempts on upstreams, retries and hedges, and isolated trials of suspected requests. */
package org.turmericspan.dispatch;
