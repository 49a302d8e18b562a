package org.turmericspan.runs;

import java.time.Duration;

/**
 * Limits of the run table.
 *
 * @param epochLength duration of an epoch; a token belongs to the epoch in which it was issued
 * @param validEpochs number of epochs whose tokens are valid, including the current one
 * @param maxEntries largest number of runs in the table, in flight or ended
 * @param maxBytes size of the stored outcomes in bytes from which no new run is started and no further response is
 *     stored
 */
public record RunTableLimits(Duration epochLength, int validEpochs, int maxEntries, long maxBytes) {
    /** Checks that all limits are positive. */
    public RunTableLimits {
        if (epochLength.isNegative() || epochLength.isZero() || validEpochs < 1 || maxEntries < 1 || maxBytes < 1) {
            throw new IllegalArgumentException("Every limit of the run table must be positive");
        }
    }
}
