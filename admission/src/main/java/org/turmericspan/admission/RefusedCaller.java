package org.turmericspan.admission;

/**
 * A request that is refused, and whose caller is told when to return.
 *
 * @param priority priority of the request; 0 is the highest
 * @param arrivedNanos monotonic time at which the request arrived
 * @param leftNanos time until the deadline of the caller
 * @param inTimeLeftNanos time in which a start is expected to end within the target latency; negative when over
 * @param usualNanos delay when nothing is known of the service
 * @param spread number from 0 to 1, the same for the same request, which tells callers apart that would return together
 */
public record RefusedCaller(
        int priority, long arrivedNanos, long leftNanos, long inTimeLeftNanos, long usualNanos, double spread) {}
