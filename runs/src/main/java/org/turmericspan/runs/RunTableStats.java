package org.turmericspan.runs;

import org.turmericspan.ids.Epoch;

/**
 * What the table of runs holds, without tokens or callers' data.
 *
 * @param currentEpoch epoch in which new tokens are stamped
 * @param oldestEpoch oldest epoch whose tokens are valid
 * @param inFlight runs in flight
 * @param stored runs whose outcome is stored
 * @param storedBytes bytes of the stored outcomes
 */
public record RunTableStats(Epoch currentEpoch, Epoch oldestEpoch, int inFlight, int stored, long storedBytes) {}
