package org.turmericspan.forwarding;

/**
 * Decides when a response is overdue, which counts as a failure of its upstream. Ages are in units of the typical
 * latency of the route on an idle upstream.
 */
final class OverdueThresholds {
    /**
     * Age at which the response of an upstream with normal service time is overdue. Under normal load, 99 % of
     * responses arrive within 2.5 typical latencies; a nearly full upstream takes 1.6 times as long.
     */
    private static final double OVERDUE_AGE = 4;
    /** Multiple of the duration of a successful attempt at which another attempt of the same request is overdue. */
    private static final double OUTRUN_FACTOR = 2.5;

    private static final double NORMAL_PERCENT = 100.0;

    private OverdueThresholds() {}

    /** Returns the age at which a response is overdue, given the slowdown of its upstream in percent. */
    static double overdueAge(int slowdownPercent) {
        return OVERDUE_AGE * slowdownFactor(slowdownPercent);
    }

    /** Returns whether an attempt is overdue because another attempt of the same request was much faster. */
    static boolean isOutrun(double age, int slowdownPercent, double ageOfSucceeded) {
        return age >= OUTRUN_FACTOR * slowdownFactor(slowdownPercent) * ageOfSucceeded;
    }

    private static double slowdownFactor(int slowdownPercent) {
        return Math.max(1, slowdownPercent / NORMAL_PERCENT);
    }
}
