/** At most one run for each run token: the run table, the handler that uses it, and the relay to the token owner. */
package org.turmericspan.runs;
