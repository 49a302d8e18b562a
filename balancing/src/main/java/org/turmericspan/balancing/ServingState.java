package org.turmericspan.balancing;

import java.util.concurrent.TimeUnit;

/**
 * What one incarnation of an upstream said about requests of this node. After a pause, requests return in steps, since
 * all nodes and waiting callers would otherwise come back at once. Guarded by the lock of the upstream table.
 */
final class ServingState {
    /** Time after a pause in which one more request may be in flight. */
    private static final long RETURN_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Time after a pause from which it limits requests no more. */
    private static final long RETURN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final long startedMillis;
    private boolean leaving;
    private boolean hasPaused;
    private long pausedUntilNanos;

    ServingState(long startedMillis) {
        this.startedMillis = startedMillis;
    }

    /** Returns the start of the incarnation, which tells it from others under the same identifier. */
    long startedMillis() {
        return startedMillis;
    }

    /** Applies a notice; neither a mark nor a pause is ever shortened. Returns whether anything changed. */
    boolean apply(ServingNotice notice, long nowNanos) {
        boolean isChanged = notice.leaving() && !leaving;
        leaving |= notice.leaving();
        long untilNanos = nowNanos + notice.pauseNanos();
        if (notice.pauseNanos() > 0 && (!hasPaused || untilNanos - pausedUntilNanos > 0)) {
            isChanged |= !isPaused(nowNanos);
            hasPaused = true;
            pausedUntilNanos = untilNanos;
        }
        return isChanged;
    }

    boolean isLeaving() {
        return leaving;
    }

    boolean isPaused(long nowNanos) {
        return hasPaused && pausedUntilNanos - nowNanos > 0;
    }

    /** Returns the time until the end of the pause; 0 when there is none. */
    long remainingPauseNanos(long nowNanos) {
        return isPaused(nowNanos) ? pausedUntilNanos - nowNanos : 0;
    }

    /** Returns the time until the end of the pause, or until the next step of the return after it; 0 if neither. */
    long untilNextAdmissionNanos(long nowNanos) {
        long sincePauseNanos = nowNanos - pausedUntilNanos;
        if (!hasPaused || sincePauseNanos >= RETURN_NANOS) {
            return 0;
        }
        return sincePauseNanos < 0 ? -sincePauseNanos : RETURN_STEP_NANOS - sincePauseNanos % RETURN_STEP_NANOS;
    }

    /** Returns whether the upstream may get a request, or be probed, at all. */
    boolean takesRequests(long nowNanos) {
        return !leaving && !isPaused(nowNanos);
    }

    /** Returns whether the upstream may get another request of this node. */
    boolean admits(int inFlight, long nowNanos) {
        return takesRequests(nowNanos) && inFlight < maxInFlight(nowNanos);
    }

    private long maxInFlight(long nowNanos) {
        long sincePauseNanos = nowNanos - pausedUntilNanos;
        return !hasPaused || sincePauseNanos >= RETURN_NANOS
                ? Integer.MAX_VALUE
                : 1 + sincePauseNanos / RETURN_STEP_NANOS;
    }
}
