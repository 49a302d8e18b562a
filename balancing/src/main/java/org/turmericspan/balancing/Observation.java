package org.turmericspan.balancing;

/**
 * Observed state of an upstream at one moment.
 *
 * @param atNanos monotonic time of the observation
 * @param running requests that the upstream runs
 * @param waiting requests queued at the upstream
 * @param slowdownPercent current service time relative to normal; 100 is normal
 * @param coldRemainingNanos remaining warm-up time; 0 when it is warm
 * @param healthy whether its health check succeeded
 * @param reachable whether it responded, and as the expected upstream
 */
public record Observation(
        long atNanos,
        int running,
        int waiting,
        int slowdownPercent,
        long coldRemainingNanos,
        boolean healthy,
        boolean reachable) {
    /**
     * Creates the observation of an upstream that does not respond, or at whose address a different one responds.
     *
     * @param atNanos monotonic time of the observation
     * @param coldRemainingNanos cold time to assume, since it has probably restarted when it becomes reachable
     * @return the observation
     */
    public static Observation unreachable(long atNanos, long coldRemainingNanos) {
        return new Observation(atNanos, 0, 0, LoadReport.NORMAL.slowdownPercent(), coldRemainingNanos, false, false);
    }
}
