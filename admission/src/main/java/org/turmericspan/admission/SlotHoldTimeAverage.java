package org.turmericspan.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * Moving average of how long requests of one service hold a slot. It has no lock: its owner guards it.
 */
public final class SlotHoldTimeAverage {
    private static final int WEIGHT_SHIFT = 4;

    private long meanNanos;
    private boolean known;

    /**
     * Takes in one request.
     *
     * @param held how long it held its slot
     */
    public void record(Duration held) {
        long sampleNanos = held.toNanos();
        meanNanos = known ? meanNanos + (sampleNanos - meanNanos >> WEIGHT_SHIFT) : sampleNanos;
        known = true;
    }

    /**
     * Returns the average.
     *
     * @return the mean of recent requests, or empty before the first
     */
    public Optional<Duration> mean() {
        return known ? Optional.of(Duration.ofNanos(meanNanos)) : Optional.empty();
    }
}
