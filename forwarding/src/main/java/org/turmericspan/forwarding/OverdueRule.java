package org.turmericspan.forwarding;

/**
 * Decides when an answer is overdue, so that its upstream counts as one that loses answers. Times are in units of what
 * the request typically takes on an idle upstream.
 */
final class OverdueRule {
    /**
     * Time at the usual speed within which an answer comes: 2.5 for 99 in 100 answers of a calm day, and 1.6 times that
     * on an upstream that is nearly full.
     */
    private static final double OVERDUE = 4;
    /** How many times as long as the attempt that answered another one has run when its answer counts as overdue. */
    private static final double BEATEN = 2.5;

    private static final double USUAL_PERCENT = 100.0;

    private OverdueRule() {}

    /** Returns the time from which an answer is overdue at an upstream of a given slowness in percent. */
    static double at(int slowPercent) {
        return OVERDUE * slowness(slowPercent);
    }

    /** Tells whether an attempt is overdue because another one of the same request was so much faster. */
    static boolean isBeaten(double elapsed, int slowPercent, double elapsedOfAnswered) {
        return elapsed >= BEATEN * slowness(slowPercent) * elapsedOfAnswered;
    }

    private static double slowness(int slowPercent) {
        return Math.max(1, slowPercent / USUAL_PERCENT);
    }
}
