/** Structured log lines on standard output, bounded and never blocking. */
package org.turmericspan.events;
