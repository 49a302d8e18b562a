package org.turmericspan.feed;

import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.MonotonicClock;

/**
 * Tells how current a node's replica of the store is: through how many nodes it reads, when the store responded last,
 * and how long expired registrations may return after an outage. Written by the worker of the feed, read by any thread.
 */
final class StoreContact {
    /** Grace period in which upstreams whose registrations expired, or were lost, may register again. */
    static final long REREGISTRATION_GRACE_MILLIS = 2_000;

    /** Age of a confirmation that there never was. */
    private static final long NO_CONFIRMATION_MILLIS = TimeUnit.HOURS.toMillis(1);
    /** Distance from the store of a node that has no contact with it. */
    private static final int NO_DISTANCE = Integer.MAX_VALUE;

    private final ChangeLimits limits;
    private final MonotonicClock clock;
    private volatile int distance = NO_DISTANCE;
    private volatile long contactNanos;
    private volatile long confirmedNanos;
    private volatile long ownConfirmedNanos;
    private volatile boolean hasOwnConfirmation;
    private volatile long graceUntilNanos;
    private volatile long contactRestoredNanos;

    StoreContact(ChangeLimits limits, MonotonicClock clock) {
        this.limits = limits;
        this.clock = clock;
        this.graceUntilNanos = clock.nowNanos();
        this.confirmedNanos = clock.nowNanos();
        this.contactRestoredNanos = clock.nowNanos();
    }

    /** Returns whether the store responded lately to a node at most this many nodes away. */
    boolean isCurrent(int maxDistance) {
        return distance <= maxDistance && clock.nowNanos() - contactNanos < limits.currencyNanos();
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

    /** Records that a source of this node has told that the replica had every change some time ago. */
    void confirm(long ageMillis) {
        long nanos = clock.nowNanos() - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        if (!hasOwnConfirmation || nanos - ownConfirmedNanos > 0) {
            ownConfirmedNanos = nanos;
            hasOwnConfirmation = true;
        }
        confirmByOther(ageMillis);
    }

    /** Records the same by the message of any other node, which does not count when this node tells others. */
    void confirmByOther(long ageMillis) {
        long nanos = clock.nowNanos() - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        if (nanos - confirmedNanos > 0) {
            confirmedNanos = nanos;
        }
    }

    /** Returns the time since the store has confirmed that the replica has every change, or since the start. */
    long confirmedAgeMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - confirmedNanos);
    }

    /** Returns the time since a source of this node has confirmed it. */
    long ownConfirmedAgeMillis() {
        return hasOwnConfirmation
                ? TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - ownConfirmedNanos)
                : NO_CONFIRMATION_MILLIS;
    }

    /** Records that the store did not respond; returns whether this node read the store itself until now. */
    boolean lose() {
        boolean wasDirect = distance == 0;
        if (wasDirect) {
            distance = NO_DISTANCE;
        }
        return wasDirect;
    }

    /** Records that contact, directly or through other nodes, was lost before and is back. */
    void restore() {
        contactRestoredNanos = clock.nowNanos();
    }

    /** Returns for how long there has been contact. */
    long contactForMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - contactRestoredNanos);
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

    /**
     * Returns the time after which a registration that a restored store does not have counts as removed: it may be
     * written again until the grace period ends, and takes up to the limit of a change from there.
     */
    long restorationGraceNanos() {
        return TimeUnit.MILLISECONDS.toNanos(REREGISTRATION_GRACE_MILLIS + limits.changeLimitMillis());
    }
}
