package org.turmericspan.routing;

import java.util.concurrent.TimeUnit;

/** Decides whether the oldest request on an upstream has run so long that the upstream is passed over. */
@FunctionalInterface
public interface OverdueRule {
    /** Passes over an upstream several deviations after its mean service time. */
    OverdueRule BY_DEVIATION = (ageNanos, latency) -> latency.meanNanos() > 0
            && ageNanos
                    > Math.max(
                            TimeUnit.MILLISECONDS.toNanos(Limits.SHORTEST_OVERDUE_MILLIS),
                            Math.max(
                                    Limits.MEANS * latency.meanNanos(),
                                    latency.meanNanos() + Limits.DEVIATIONS * latency.deviationNanos()));

    /** Never passes over an upstream. */
    OverdueRule NEVER = (ageNanos, latency) -> false;

    /**
     * Decides.
     *
     * @param ageNanos how long the oldest request has run
     * @param latency recent service times of the upstream
     * @return true when it is overdue
     */
    boolean isOverdue(long ageNanos, LatencyEstimate latency);

    /** Limits of the usual rule. */
    final class Limits {
        static final long SHORTEST_OVERDUE_MILLIS = 5;
        static final long MEANS = 3;
        static final long DEVIATIONS = 4;

        private Limits() {}
    }
}
