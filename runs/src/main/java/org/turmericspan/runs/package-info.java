/** At most one run for each run token: the table of runs, the gate before it, and the relay to the owner of a token. */
package org.turmericspan.runs;
