/** Open-loop load generator whose callers check every response. */
package org.turmericspan.bench.load;
