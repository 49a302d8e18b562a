package org.turmericspan.balancing;

/**
 * What an upstream showed of itself at one moment.
 *
 * @param atNanos monotonic time of the observation
 * @param running requests running
 * @param waiting requests waiting
 * @param slowdownPercent how long work takes now, 100 as usual
 * @param coldRemainingNanos how long it stays cold, 0 when warm
 * @param healthy whether its health check was good
 * @param reachable whether it answered at all
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
     * Describes an upstream that does not answer, or at whose address another one answers.
     *
     * @param atNanos monotonic time of the observation
     * @param coldRemainingNanos how long it stays cold, since what returns has probably restarted
     * @return the observation
     */
    public static Observation unreachable(long atNanos, long coldForNanos) {
        return new Observation(atNanos, 0, 0, LoadReport.NORMAL.slowdownPercent(), coldForNanos, false, false);
    }
}
