package org.turmericspan.feed;

import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.MonotonicClock;

/**
 * Tells how current a node's replica of the store is: through how many nodes it reads, when the store responded last,
 * and how long expired registrations may return after an outage. Written by the worker of the feed, read by any thread.
 */
final class StoreContact {
    /**
     * Age of the last response of the store, to this node or to the one it reads through, up to which this node may
     * relay what it read. Covers one watch of the store and one of a relay. Readers of a relay whose source does not
     * respond have to find another one in time.
     */
    private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);
    /** Distance from the store of a node that has no contact with it. */
    private static final int NO_DISTANCE = Integer.MAX_VALUE;

    private final MonotonicClock clock;
    private volatile int distance = NO_DISTANCE;
    private volatile long contactNanos;
    private volatile long graceUntilNanos;

    StoreContact(MonotonicClock clock) {
        this.clock = clock;
        this.graceUntilNanos = clock.nowNanos();
    }

    /** Returns whether the store responded lately to a node at most this many nodes away. */
    boolean isCurrent(int maxDistance) {
        return distance <= maxDistance && clock.nowNanos() - contactNanos < TIMEOUT_NANOS;
    }

    RelayStatus status() {
        long nowNanos = clock.nowNanos();
        return new RelayStatus(
                distance,
                TimeUnit.NANOSECONDS.toMillis(nowNanos - contactNanos),
                Math.max(0, TimeUnit.NANOSECONDS.toMillis(remainingGraceNanos())));
    }

    /** Records a page that a source responded with. */
    void recordResponse(RelayStatus status) {
        long nowNanos = clock.nowNanos();
        contactNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(status.contactAgeMillis());
        distance = status.distance() + 1;
        extendGracePeriod(status.graceMillis());
    }

    /** Records that the store did not respond; returns whether this node read the store itself until now. */
    boolean lose() {
        boolean wasDirect = distance == 0;
        if (wasDirect) {
            distance = NO_DISTANCE;
        }
        return wasDirect;
    }

    void extendGracePeriod(long millis) {
        long untilNanos = clock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(millis);
        if (untilNanos - graceUntilNanos > 0) {
            graceUntilNanos = untilNanos;
        }
    }

    /** Returns the rest of the grace period; 0 or less when there is none. */
    long remainingGraceNanos() {
        return graceUntilNanos - clock.nowNanos();
    }
}
