/** Encoding of the messages about permits, and the datagrams that carry them. */
package org.turmericspan.caps.wire;
