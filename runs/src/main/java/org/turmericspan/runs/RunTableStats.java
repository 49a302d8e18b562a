package org.turmericspan.runs;

import org.turmericspan.ids.Epoch;

/**
 * Statistics of the run table, without tokens or data of callers.
 *
 * @param currentEpoch epoch to which newly issued tokens belong
 * @param oldestEpoch oldest epoch whose tokens are valid
 * @param inFlight number of runs without an outcome yet
 * @param stored number of ended runs in the table, also those whose response was too much to store
 * @param storedBytes size of the stored outcomes in bytes
 */
public record RunTableStats(Epoch currentEpoch, Epoch oldestEpoch, int inFlight, int stored, long storedBytes) {}
