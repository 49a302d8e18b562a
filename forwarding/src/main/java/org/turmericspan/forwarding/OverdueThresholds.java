package org.turmericspan.forwarding;

/**
 * Decides when a response is overdue, which counts as a failure of its upstream. Ages are in units of the typical
 * latency of the route on an idle upstream.
 */
final class OverdueThresholds {
    /**
     * Age within which an upstream at its baseline latency responds: 99 % of responses arrive within 2.5 under normal
     * load, and an upstream that is nearly at capacity takes 1.6 times as long.
     */
    private static final double OVERDUE_FACTOR = 4;
    /** An attempt is overdue when it has run this many times as long as another attempt that succeeded. */
    private static final double OUTRUN_FACTOR = 2.5;

    private static final double NORMAL_PERCENT = 100.0;

    private OverdueThresholds() {}

    /** Returns the age at which a response is overdue, given the slowdown of its upstream in percent. */
    static double overdueAge(int slowdownPercent) {
        return OVERDUE_FACTOR * slowdownFactor(slowdownPercent);
    }

    /** Returns whether an attempt is overdue because another attempt of the same request was much faster. */
    static boolean isOutrun(double age, int slowdownPercent, double ageOfSucceeded) {
        return age >= OUTRUN_FACTOR * slowdownFactor(slowdownPercent) * ageOfSucceeded;
    }

    private static double slowdownFactor(int slowdownPercent) {
        return Math.max(1, slowdownPercent / NORMAL_PERCENT);
    }
}
