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
    /** Returns whether a start now is expected to end within the target latency. */
    boolean isInTime(long nowNanos) {
        return inTimeUntilNanos - nowNanos > 0;
    }

    /** Returns the time until which a start is of use to a request that arrives now. */
    long usefulUntilNanos(long nowNanos) {
        return isInTime(nowNanos) ? Math.min(inTimeUntilNanos, waitUntilNanos) : waitUntilNanos;
    }
}
