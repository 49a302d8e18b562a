package org.turmericspan.routing;

import java.util.concurrent.TimeUnit;

/** Decides whether the oldest request on an upstream has run so long that the upstream is skipped. */
@FunctionalInterface
public interface OverdueRule {
    /**
     * Skips an upstream whose oldest request has run longer than a minimum, a multiple of the mean service time, and
     * the mean plus a multiple of the mean deviation. Never skips it before the first service time.
     */
    OverdueRule BY_DEVIATION = (ageNanos, latency) -> latency.meanNanos() > 0
            && ageNanos
                    > Math.max(
                            TimeUnit.MILLISECONDS.toNanos(Limits.MIN_OVERDUE_MILLIS),
                            Math.max(
                                    Limits.MEAN_FACTOR * latency.meanNanos(),
                                    latency.meanNanos() + Limits.DEVIATION_FACTOR * latency.deviationNanos()));

    /** Never skips an upstream. */
    OverdueRule NEVER = (ageNanos, latency) -> false;

    /**
     * Returns whether the oldest request is overdue.
     *
     * @param ageNanos how long the oldest request has run
     * @param latency recent service times of the upstream
     * @return true when it is overdue
     */
    boolean isOverdue(long ageNanos, LatencyEstimate latency);

    /** Limits of the default rule. */
    final class Limits {
        static final long MIN_OVERDUE_MILLIS = 5;
        static final long MEAN_FACTOR = 3;
        static final long DEVIATION_FACTOR = 4;

        private Limits() {}
    }
}
