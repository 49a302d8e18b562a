package org.turmericspan.gossip;

import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.StorePosition;

/**
 * State of a node's replica of the store, by which another node can tell whether its own replica lags, and whether it
 * is confirmed.
 *
 * @param changePosition position of the newest change that the replica has
 * @param listPosition position of the list with which the replica began; its changes are not part of the other position
 * @param confirmedAgeMillis time since the store has confirmed that the replica has every change, in milliseconds
 * @param configurationVersion version of the newest configuration that the replica has, 0 when it has none
 * @param eraAgeMillis time since the replica has gone on to its era, in milliseconds; an hour when it began with it
 */
public record ReplicaState(
        StorePosition changePosition,
        StorePosition listPosition,
        long confirmedAgeMillis,
        long configurationVersion,
        long eraAgeMillis) {
    /** Age of an era that the replica began with. */
    public static final long UNKNOWN_AGE_MILLIS = TimeUnit.HOURS.toMillis(1);

    /** State of a node that has no replica, or does not tell. */
    public static final ReplicaState NONE =
            new ReplicaState(StorePosition.START, StorePosition.START, UNKNOWN_AGE_MILLIS, 0);

    /**
     * Creates the state of a replica that began with its era.
     *
     * @param changePosition position of the newest change
     * @param listPosition position of the first list
     * @param confirmedAgeMillis time since the last confirmation, in milliseconds
     * @param configurationVersion version of the newest configuration
     */
    public ReplicaState(
            StorePosition changePosition,
            StorePosition listPosition,
            long confirmedAgeMillis,
            long configurationVersion) {
        this(changePosition, listPosition, confirmedAgeMillis, configurationVersion, UNKNOWN_AGE_MILLIS);
    }

    /**
     * Returns the era of the store that the replica belongs to.
     *
     * @return 0 when it is not known
     */
    public long era() {
        return Math.max(changePosition.era(), listPosition.era());
    }
}
