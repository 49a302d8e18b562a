/** Authenticated Netty connections between nodes. */
package org.turmericspan.peer;
