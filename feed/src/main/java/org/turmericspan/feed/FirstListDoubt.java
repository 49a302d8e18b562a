package org.turmericspan.feed;

import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.StorePosition;

/**
 * Doubt about the list with which a replica began. One that may be stale can be of a time before a restoration of the
 * store though it bears the era after it, so that the store has lost a part of it. Used by the worker of the feed;
 * whether a replica is provisional is read by any thread.
 */
final class FirstListDoubt {
    /** Greatest age of the items of a list that may be stale. */
    private static final long MAX_LIST_AGE_MILLIS = 10_000;

    private final MonotonicClock clock;
    private boolean isStale;
    private long listedNanos;
    /** Source whose list is taken in place of the stale one, null if there is none. */
    private StoreSource provenSource;

    private volatile boolean isProvisional;

    FirstListDoubt(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records a list that the replica takes; any but a stale first one ends the doubt. */
    void recordList(boolean isStaleFirstList) {
        isStale = isStaleFirstList;
        isProvisional = isStaleFirstList;
        listedNanos = clock.nowNanos();
        provenSource = null;
    }

    /** Records the position of a source; one that has reached the replica's shows that the store went on from there. */
    void recordSource(StorePosition source, StorePosition replica) {
        isProvisional &= replica.isAfter(source);
    }

    /** Records that the replica goes on to a later era, which the doubt is not about. */
    void recordRestoration() {
        isStale = false;
    }

    /** Returns whether no source has reached the position of the list yet. */
    boolean isProvisional() {
        return isProvisional;
    }

    /**
     * Returns whether the list may be of a time before the restoration. A replica that has gone on to the era much
     * later was cut off, and tells nothing of the time of the restoration.
     *
     * @param otherEraAgeMillis time since another replica has gone on to the same era
     */
    boolean isJustified(long otherEraAgeMillis) {
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - listedNanos);
        return isStale && Math.abs(otherEraAgeMillis - ageMillis) < MAX_LIST_AGE_MILLIS;
    }

    /** Expects a list of a source that has gone through the restoration. */
    void expectProof(StoreSource source) {
        provenSource = source;
    }

    /** Returns whether a list is the one that is expected in place of the stale one. */
    boolean isProof(ListRead list, StorePosition replica) {
        return isStale && list.source().equals(provenSource) && isOfSameEra(list, replica);
    }

    /** Returns whether a list of the store itself shows what its history is, whatever the replica has. */
    boolean isDisproof(ListRead list, StorePosition replica) {
        return isProvisional && list.source().isStore() && !list.isStale() && isOfSameEra(list, replica);
    }

    private static boolean isOfSameEra(ListRead list, StorePosition replica) {
        return list.lowestPosition().era() == replica.era();
    }
}
