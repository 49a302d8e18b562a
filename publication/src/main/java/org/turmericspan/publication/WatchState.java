package org.turmericspan.publication;

import java.time.Duration;
import org.turmericspan.ids.MonotonicClock;

/**
 * State of the watch of one key: the last revision and the time at which it was last known to be current. The watch
 * periodically reads the value unconditionally, since a platform that restarted may number its revisions anew.
 */
final class WatchState {
    /** Interval between two unconditional reads of the value. */
    static final Duration UNCONDITIONAL_READ_INTERVAL = Duration.ofMinutes(10);

    private final MonotonicClock clock;
    private volatile long revision;
    private volatile long unconditionalReadNanos;
    private volatile long confirmedNanos;
    private volatile boolean regressed;

    WatchState(MonotonicClock clock) {
        this.clock = clock;
        this.unconditionalReadNanos = clock.nowNanos();
        this.confirmedNanos = clock.nowNanos();
    }

    /** Returns the revision that a newer value must exceed; 0 reads the value at once. */
    long nextRevision() {
        long nowNanos = clock.nowNanos();
        if (nowNanos - unconditionalReadNanos < UNCONDITIONAL_READ_INTERVAL.toNanos()) {
            return revision;
        }
        unconditionalReadNanos = nowNanos;
        return 0;
    }

    /** Records a value; a lower revision than before means that the platform restarted or is stale. */
    void recordValue(PlatformValue value, long requestedNanos) {
        regressed = value.revision() < revision;
        revision = value.revision();
        confirm(requestedNanos);
    }

    /**
     * Records that there was no newer value. A response after the full wait was valid at the end of the wait; it may
     * have been read much later.
     */
    void recordUnchanged(long requestedNanos, Duration wait) {
        boolean isFullWait = clock.nowNanos() - requestedNanos >= wait.toNanos();
        confirm(isFullWait ? requestedNanos + wait.toNanos() : requestedNanos);
    }

    long revision() {
        return revision;
    }

    long confirmedNanos() {
        return confirmedNanos;
    }

    boolean isRegressed() {
        return regressed;
    }

    private void confirm(long atNanos) {
        confirmedNanos = Math.max(confirmedNanos, atNanos);
    }
}
