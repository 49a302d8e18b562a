package org.turmericspan.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * Exponentially weighted moving average of the time for which requests of one service hold a slot. The class is not
 * thread-safe: its users guard it by a lock.
 */
public final class SlotHoldTimeAverage {
    /** Binary logarithm of 16: a new sample has a weight of 1/16. */
    private static final int SAMPLE_WEIGHT_SHIFT = 4;

    private long meanNanos;
    private boolean hasSample;

    /**
     * Records the hold time of one request.
     *
     * @param holdTime time for which the request held its slot
     */
    public void record(Duration holdTime) {
        long sampleNanos = holdTime.toNanos();
        meanNanos = hasSample ? meanNanos + (sampleNanos - meanNanos >> SAMPLE_WEIGHT_SHIFT) : sampleNanos;
        hasSample = true;
    }

    /**
     * Returns the average.
     *
     * @return the average, or empty before the first request is recorded
     */
    public Optional<Duration> mean() {
        return hasSample ? Optional.of(Duration.ofNanos(meanNanos)) : Optional.empty();
    }
}
