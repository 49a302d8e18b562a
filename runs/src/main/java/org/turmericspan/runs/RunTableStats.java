package org.turmericspan.runs;

import org.turmericspan.ids.Epoch;

/**
 * Statistics of the run table, without tokens or data of callers.
 *
 * @param currentEpoch epoch in which new tokens are issued
 * @param oldestEpoch oldest epoch whose tokens are valid
 * @param inFlight number of runs in flight
 * @param stored number of runs whose outcome is stored
 * @param storedBytes size of the stored outcomes in bytes
 */
public record RunTableStats(Epoch currentEpoch, Epoch oldestEpoch, int inFlight, int stored, long storedBytes) {}
