/** HTTP client towards the upstreams, which proves whether bytes were sent. */
package org.turmericspan.upstream;
