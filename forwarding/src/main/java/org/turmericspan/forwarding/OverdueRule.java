package org.turmericspan.forwarding;

/**
 * Decides when an answer is overdue, so that its upstream counts as one that loses answers. Times are in units of what
 * the request typically takes on an idle upstream.
 */
final class OverdueRule {
    /** Time at the usual speed within which 99 in 100 answers of a calm day come. */
    private static final double OVERDUE = 2.5;

    private static final double USUAL_PERCENT = 100.0;

    private OverdueRule() {}

    /** Returns the time from which an answer is overdue at an upstream of a given slowness in percent. */
    static double at(int slowPercent) {
        return OVERDUE * Math.max(1, slowPercent / USUAL_PERCENT);
    }
}
