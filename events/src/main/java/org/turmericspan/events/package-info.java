/** Structured, rate-limited log of JSON lines that is written by its own thread and never blocks its users. */
package org.turmericspan.events;
