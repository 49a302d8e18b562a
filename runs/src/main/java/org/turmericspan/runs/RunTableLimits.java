package org.turmericspan.runs;

import java.time.Duration;

/**
 * Bounds of the table of runs.
 *
 * @param epochLength how long one epoch's tokens are given out
 * @param validEpochs number of epochs, the current one among them, whose tokens are valid
 * @param maxEntries runs remembered at most
 * @param maxBytes bytes of stored answers beyond which no new run begins and no further answer is stored
 */
public record RunTableLimits(Duration epochLength, int validEpochs, int maxEntries, long maxBytes) {
    /** Checks the ranges. */
    public RunTableLimits {
        if (epochLength.isNegative() || epochLength.isZero() || validEpochs < 1 || maxEntries < 1 || maxBytes < 1) {
            throw new IllegalArgumentException("RunLimits takes numbers from 1");
        }
    }
}
