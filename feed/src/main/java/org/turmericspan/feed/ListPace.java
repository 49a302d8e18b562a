package org.turmericspan.feed;

import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.MonotonicClock;

/**
 * Spaces the lists by which a node recovers, so that a list that does not end the need for it is not repeated without
 * limit. The load pattern is a store whose watches all fail as compacted while its lists are of no use. Used by the
 * worker of the feed.
 */
final class ListPace {
    private final ChangeLimits limits;
    private final MonotonicClock clock;
    private long pauseMillis;
    private boolean hasListed;
    private long lastListNanos;

    ListPace(ChangeLimits limits, MonotonicClock clock) {
        this.limits = limits;
        this.clock = clock;
    }

    /** Returns the time until the next list may be read, 0 when it may be now. */
    long delayMillis() {
        return hasListed ? Math.max(0, pauseMillis - sinceListMillis()) : 0;
    }

    /** Records a complete list; the pause after it is twice that before it. */
    void recordList() {
        pauseMillis = hasListed ? Math.min(2 * pauseMillis, limits.maxListPauseMillis()) : limits.minListPauseMillis();
        hasListed = true;
        lastListNanos = clock.nowNanos();
    }

    /** Records that changes were read; the pauses are short again when the last list was long ago. */
    void recordChanges() {
        if (hasListed && sinceListMillis() > limits.maxListPauseMillis()) {
            hasListed = false;
        }
    }

    private long sinceListMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - lastListNanos);
    }
}
