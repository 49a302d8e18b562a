package org.turmericspan.routing;

/** Smoothed mean and deviation of an upstream's recent service times. */
public final class LatencyEstimate {
    private static final int MEAN_WEIGHT = 8;
    private static final int DEVIATION_WEIGHT = 4;

    private long meanNanos;
    private long deviationNanos;

    /**
     * Adds a service time.
     *
     * @param elapsedNanos time from the first byte sent to the complete response
     */
    public void add(long elapsedNanos) {
        if (meanNanos == 0) {
            meanNanos = elapsedNanos;
            deviationNanos = elapsedNanos / 2;
            return;
        }
        long error = elapsedNanos - meanNanos;
        meanNanos = Math.max(1, meanNanos + error / MEAN_WEIGHT);
        deviationNanos += (Math.abs(error) - deviationNanos) / DEVIATION_WEIGHT;
    }

    /** Clears the estimate. */
    public void clear() {
        meanNanos = 0;
        deviationNanos = 0;
    }

    /**
     * Returns the mean.
     *
     * @return nanoseconds, 0 before the first service time
     */
    public long meanNanos() {
        return meanNanos;
    }

    /**
     * Returns the mean deviation.
     *
     * @return nanoseconds
     */
    public long deviationNanos() {
        return deviationNanos;
    }
}
