/**
 * Runs a request at most once for each run token, an idempotency key that one node owns: the run table, the handler
 * that uses it, and the relay to the token owner.
 */
package org.turmericspan.runs;
