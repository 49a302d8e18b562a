/** Forwards requests to upstreams, with retries and hedged requests. */
package org.turmericspan.forwarding;
