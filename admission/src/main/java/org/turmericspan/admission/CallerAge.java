package org.turmericspan.admission;

import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.MonotonicClock;

/**
 * Estimates how long the callers of one route have been trying, by the time that they still allow. Answers the load of
 * callers that return after a refusal at any node: they look new, but can no longer be in time, and would take the room
 * of requests that can. The longest time that callers of the last seconds allowed is taken as that of a first try.
 * Where callers of a route allow different times, those that allow little count as older than they are, and yield to
 * the others while room is short. The class is not thread-safe: its users guard it by a lock.
 */
public final class CallerAge {
    /** Time after which what callers allowed is forgotten, at least once and at most twice. */
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final MonotonicClock clock;
    private long windowStartNanos;
    private long longestNanos;
    private long longestBeforeNanos;

    /**
     * Creates an estimate without callers.
     *
     * @param clock monotonic time
     */
    public CallerAge(MonotonicClock clock) {
        this.clock = clock;
        this.windowStartNanos = clock.nowNanos();
    }

    /**
     * Records a request.
     *
     * @param allowedNanos time that its caller allowed when it arrived
     */
    public void record(long allowedNanos) {
        long now = clock.nowNanos();
        if (now - windowStartNanos >= WINDOW_NANOS) {
            longestBeforeNanos = now - windowStartNanos < 2 * WINDOW_NANOS ? longestNanos : 0;
            longestNanos = 0;
            windowStartNanos = now;
        }
        longestNanos = Math.max(longestNanos, allowedNanos);
    }

    /**
     * Returns how long a caller has been trying.
     *
     * @param allowedNanos time that it allowed when its request arrived
     * @return nanoseconds from its first try to that arrival; 0 for a first try
     */
    public long ageNanos(long allowedNanos) {
        return Math.max(0, Math.max(longestNanos, longestBeforeNanos) - allowedNanos);
    }
}
