package org.turmericspan.runs;

import java.time.Duration;

/**
 * Limits of the run table.
 *
 * @param epochLength length of an epoch, in which its tokens are issued
 * @param validEpochs number of epochs whose tokens are valid, including the current one
 * @param maxEntries largest number of runs in the table
 * @param maxBytes size of the stored outcomes in bytes from which no new run is started and no further response is
 *     stored
 */
public record RunTableLimits(Duration epochLength, int validEpochs, int maxEntries, long maxBytes) {
    /** Checks the ranges. */
    public RunTableLimits {
        if (epochLength.isNegative() || epochLength.isZero() || validEpochs < 1 || maxEntries < 1 || maxBytes < 1) {
            throw new IllegalArgumentException("RunTableLimits must be positive");
        }
    }
}
