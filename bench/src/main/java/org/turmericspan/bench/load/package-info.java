/** Callers that send an open stream of requests and check every answer. */
package org.turmericspan.bench.load;
