package org.turmericspan.publication;

import java.time.Duration;
import org.turmericspan.ids.MonotonicClock;

/**
 * State of the watch of one key: the last revision and the time at which it was last known to be current.
 *
 * <p>A platform that came back from an older copy numbers its revisions from that copy on, so that a newer value may
 * have a revision that is not above the last one. The watch therefore reads the value unconditionally after each failed
 * read, and periodically, since a short restart may fail no read.
 */
final class WatchState {
    /**
     * Minimum interval between two unconditional reads while no read fails. Together with a long poll that began before
     * its end it leaves a second of the 10 s within which a change must be in force on all nodes.
     */
    static final Duration MIN_UNCONDITIONAL_READ_INTERVAL = Duration.ofSeconds(6);
    /** Bound of the bytes a second that periodic unconditional reads take; large values are read less often. */
    static final int MAX_UNCONDITIONAL_READ_BYTES_PER_SECOND = 3_000;

    private static final PlatformValue NONE = new PlatformValue(0, "");

    private final MonotonicClock clock;
    private volatile PlatformValue last = NONE;
    private volatile PlatformValue highest = NONE;
    private volatile boolean contactLost;
    private volatile boolean unconditional;
    private volatile long valueReadNanos;
    private volatile long confirmedNanos;

    WatchState(MonotonicClock clock) {
        this.clock = clock;
        this.valueReadNanos = clock.nowNanos();
        this.confirmedNanos = clock.nowNanos();
    }

    /** Returns the revision that a newer value must exceed; 0 reads the value at once. */
    long nextRevision() {
        boolean isDue =
                clock.nowNanos() - valueReadNanos >= unconditionalReadInterval().toNanos();
        unconditional = contactLost || isDue;
        return unconditional ? 0 : last.revision();
    }

    /** Records a value; a lower revision than before means that the platform restarted or is stale. */
    void recordValue(PlatformValue value, long requestedNanos) {
        contactLost = false;
        valueReadNanos = requestedNanos;
        last = value;
        if (value.revision() > highest.revision()) {
            highest = value;
        }
        confirm(requestedNanos);
    }

    /**
     * Records that there was no newer value. A response after the full wait was valid at the end of the wait; it may
     * have been read much later.
     *
     * @return true when this confirms the last value; false when the platform has no value any more
     */
    boolean recordUnchanged(long requestedNanos, Duration wait) {
        if (unconditional && !last.equals(NONE)) {
            return false;
        }
        boolean isFullWait = clock.nowNanos() - requestedNanos >= wait.toNanos();
        confirm(isFullWait ? requestedNanos + wait.toNanos() : requestedNanos);
        return true;
    }

    /** Records a failed read, during which the platform may have been restored. */
    void recordFailure() {
        contactLost = true;
    }

    long revision() {
        return last.revision();
    }

    long confirmedNanos() {
        return confirmedNanos;
    }

    /** Returns whether the last value is older than the newest one, or has its revision but differs from it. */
    boolean isRegressed() {
        return !last.equals(highest);
    }

    private Duration unconditionalReadInterval() {
        Duration byBytes = Duration.ofSeconds(last.text().length() / MAX_UNCONDITIONAL_READ_BYTES_PER_SECOND);
        return byBytes.compareTo(MIN_UNCONDITIONAL_READ_INTERVAL) > 0 ? byBytes : MIN_UNCONDITIONAL_READ_INTERVAL;
    }

    private void confirm(long atNanos) {
        confirmedNanos = Math.max(confirmedNanos, atNanos);
    }
}
