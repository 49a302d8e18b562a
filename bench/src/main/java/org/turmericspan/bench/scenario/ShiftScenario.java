package org.turmericspan.bench.scenario;

import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Report;

/** Compares the policies while neighbours slow single upstreams down for moments. */
final class ShiftScenario {
    private static final double LARGEST_P99_RATIO = 0.6;

    Report run(BenchSettings settings) {
        return PolicyComparison.run(settings, NoisyNeighbours::start, LARGEST_P99_RATIO);
    }
}
