package org.turmericspan.bench.scenario;

import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Report;

/** Compares the policies at half load without disturbances. */
final class QuietScenario {
    private static final double MAX_P99_RATIO = 1.0;

    Report run(BenchSettings settings) {
        return PolicyComparison.run(settings, AlternatingRuns.Disturbance.NONE, MAX_P99_RATIO);
    }
}
