package org.turmericspan.forwarding;

import java.util.concurrent.TimeUnit;

/**
 * Decides which requests a stopping node still passes on: those that are answered before its process ends. Without it,
 * steady arrivals would leave requests in progress at the end, since callers use known addresses for some time.
 */
final class StopAdmission {
    /** Time from the deadline of a request until its response has been sent. */
    private static final long RESPONSE_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private volatile boolean stopping;
    private volatile long endNanos;

    /**
     * Starts to refuse requests that could be unanswered when the process ends.
     *
     * @param processEndNanos time at which the process ends
     */
    void stopAt(long processEndNanos) {
        endNanos = processEndNanos;
        stopping = true;
    }

    /**
     * Returns whether a request may be passed on.
     *
     * @param deadlineNanos deadline of the request
     * @return false if its response may come too late
     */
    boolean admits(long deadlineNanos) {
        return !stopping || deadlineNanos + RESPONSE_TIME_NANOS - endNanos <= 0;
    }
}
