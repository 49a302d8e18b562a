package org.turmericspan.forwarding;

/**
 * Decides when a second attempt is worth making beside one that is under way. Times are in units of what the request
 * typically takes on an idle upstream, so that the rule suits any route.
 */
final class HedgeRule {
    /** Time of the first look at an attempt; a shorter one would see hardly more than the choice did. */
    private static final double FIRST_LOOK = 0.3;
    /** Pause between looks. */
    private static final double LOOK_STEP = 0.25;
    /** Time after which an attempt whose upstream has slowed down is better left to end by itself. */
    private static final double TOO_FAR = 0.7;
    /** Time after which an attempt is late if its upstream is slow. */
    private static final double LATE_WHEN_SLOW = 1.35;
    /** Time after which it is late though its upstream is fast: the request is long, or its answer is lost. */
    private static final double LATE_WHEN_FAST = 1.9;
    /** Slowness, in percent, at which an upstream counts as slow. */
    private static final int SLOW_PERCENT = 180;

    private HedgeRule() {}

    static double firstLook() {
        return FIRST_LOOK;
    }

    /** Returns the time of the next look, after one that found no reason to hedge. */
    static double nextLook(double elapsed) {
        double next = elapsed + LOOK_STEP;
        return next > TOO_FAR && next < LATE_WHEN_SLOW ? LATE_WHEN_SLOW : next;
    }

    static boolean isWorthwhile(double elapsed, int slowPercent) {
        if (slowPercent >= SLOW_PERCENT) {
            return elapsed <= TOO_FAR || elapsed >= LATE_WHEN_SLOW;
        }
        return elapsed >= LATE_WHEN_FAST;
    }
}
