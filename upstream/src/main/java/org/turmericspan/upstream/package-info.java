/** HTTP client for upstreams. It records whether any byte of an attempt was sent. */
package org.turmericspan.upstream;
