/** Membership of the entry nodes and the digests by which they share what they know. */
package org.turmericspan.gossip;
