package org.turmericspan.gossip;

import java.util.concurrent.TimeUnit;

/**
 * State of a node's replica of the store, by which another node can tell whether its own replica lags, and whether it
 * is confirmed.
 *
 * @param changeRevision revision of the newest change that the replica has
 * @param listRevision revision of the list with which the replica began; its changes are not part of the other revision
 * @param confirmedAgeMillis time since the store has confirmed that the replica has every change, in milliseconds
 */
public record ReplicaState(long changeRevision, long listRevision, long confirmedAgeMillis) {
    /** State of a node that has no replica, or does not tell. */
    public static final ReplicaState NONE = new ReplicaState(0, 0, TimeUnit.HOURS.toMillis(1));
}
