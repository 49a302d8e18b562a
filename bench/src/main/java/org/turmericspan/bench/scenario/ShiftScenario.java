package org.turmericspan.bench.scenario;

import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Report;

/** Compares the policies while noisy neighbors slow single upstreams down for short times. */
final class ShiftScenario {
    private static final double MAX_P99_RATIO = 0.6;

    Report run(BenchSettings settings) {
        return PolicyComparison.run(settings, NoisyNeighbors::start, MAX_P99_RATIO);
    }
}
