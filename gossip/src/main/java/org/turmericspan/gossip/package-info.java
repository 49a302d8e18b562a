/** Membership of the entry nodes and the gossip messages by which they disseminate their state. */
package org.turmericspan.gossip;
