package org.turmericspan.feed;

import org.turmericspan.ids.StorePosition;

/**
 * Read of another node's replica by a node that has every change up to a position.
 *
 * @param after position after which changes are requested
 * @param waitMillis longest wait for the first change, in milliseconds
 * @param maxDistance greatest number of other nodes through which the replica may be read
 * @param isFromBehind whether the reader knows that the replica has more, so that its age does not matter
 */
public record ReplicaRead(StorePosition after, long waitMillis, int maxDistance, boolean isFromBehind) {}
