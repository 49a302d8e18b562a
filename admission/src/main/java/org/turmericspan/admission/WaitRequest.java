package org.turmericspan.admission;

import org.turmericspan.ids.ServiceId;

/**
 * A request that waits until an upstream may take it.
 *
 * @param service service of the request
 * @param priority priority of the request; 0 is the highest
 * @param shareKey the tenant, or the address of the caller where there is none; requests with the same key share one
 *     turn
 * @param inTimeUntilNanos monotonic time until which a start is expected to end within the target latency
 * @param waitUntilNanos monotonic time from which waiting is of no use
 */
public record WaitRequest(
        ServiceId service, int priority, String shareKey, long inTimeUntilNanos, long waitUntilNanos) {
    /** Divisor of the time of a request that yields the longest expected wait with which it is admitted. */
    private static final int ADMISSION_DIVISOR = 2;
    /** Divisor of the time of a late request that yields its longest expected wait while others may pass it by. */
    private static final int PASSED_BY_DIVISOR = 8;

    /** Returns whether a start now is expected to end within the target latency. */
    boolean isInTime(long nowNanos) {
        return inTimeUntilNanos - nowNanos > 0;
    }

    /**
     * Returns the time by which the requests ahead must be served for a request that arrives now: a part of the time in
     * which a start is of use, since requests that come later pass it by, and since a short queue keeps all slots in
     * use as well as a long one.
     *
     * @param isPassedBy whether requests wait that go first although they come later
     */
    long admissionUntilNanos(long nowNanos, boolean isPassedBy) {
        long usefulNanos = usefulUntilNanos(nowNanos) - nowNanos;
        return nowNanos + usefulNanos / (isPassedBy ? PASSED_BY_DIVISOR : ADMISSION_DIVISOR);
    }

    /** Returns the time until which a start is of use to a request that arrives now. */
    long usefulUntilNanos(long nowNanos) {
        return isInTime(nowNanos) ? Math.min(inTimeUntilNanos, waitUntilNanos) : waitUntilNanos;
    }
}
