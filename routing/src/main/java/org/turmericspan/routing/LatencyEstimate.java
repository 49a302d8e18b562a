package org.turmericspan.routing;

/**
 * Smoothed mean and deviation of an upstream's recent service times, computed as TCP estimates the round-trip time (RFC
 * 6298).
 */
public final class LatencyEstimate {
    /** A new service time counts one eighth in the mean. */
    private static final int MEAN_SMOOTHING_DIVISOR = 8;
    /** The error of a new service time counts one quarter in the deviation. */
    private static final int DEVIATION_SMOOTHING_DIVISOR = 4;

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
        meanNanos = Math.max(1, meanNanos + error / MEAN_SMOOTHING_DIVISOR);
        deviationNanos += (Math.abs(error) - deviationNanos) / DEVIATION_SMOOTHING_DIVISOR;
    }

    /** Discards all service times added so far. */
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
     * Returns the mean deviation from the mean.
     *
     * @return nanoseconds, 0 before the first service time
     */
    public long deviationNanos() {
        return deviationNanos;
    }
}
