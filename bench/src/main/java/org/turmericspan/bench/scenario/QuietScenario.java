package org.turmericspan.bench.scenario;

import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Report;

/** Compares the policies at half load while nothing is disturbed. */
final class QuietScenario {
    private static final double LARGEST_P99_RATIO = 1.0;

    Report run(BenchSettings settings) {
        return PolicyComparison.run(settings, AlternatingRuns.Disturbance.NONE, LARGEST_P99_RATIO);
    }
}
