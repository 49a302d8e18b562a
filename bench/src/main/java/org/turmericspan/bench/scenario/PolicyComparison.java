package org.turmericspan.bench.scenario;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Bound;
import org.turmericspan.bench.Measure;
import org.turmericspan.bench.Report;
import org.turmericspan.bench.load.LoadResult;

/** Runs the same load under every policy in alternation and bounds the p99 of the first policy by the second's. */
final class PolicyComparison {
    private static final double LOAD_SHARE = 0.5;
    private static final Duration WORK = Duration.ofMillis(20);

    private PolicyComparison() {}

    static Report run(BenchSettings settings, AlternatingRuns.Disturbance disturbance, double maxP99Ratio) {
        List<PolicyFleet> fleets = AlternatingRuns.start(settings);
        try {
            Report report = new Report();
            double rate = PolicyFleet.rateFor(settings, LOAD_SHARE, WORK);
            report.addNote("load " + Math.round(rate) + " requests/s, half of all slots busy, in turns");
            Map<String, LoadResult> results = AlternatingRuns.run(settings, fleets, rate, WORK, disturbance);
            results.forEach((policy, result) -> report.of(policy).put(result));
            fleets.forEach(fleet -> report.of(fleet.policy())
                    .put(Measure.MAX_RUNNING, UpstreamCounters.max(fleet.fleet(), "max_running")));
            fleets.forEach(fleet -> report.of(fleet.policy())
                    .put(Measure.COLD_OVERRUNS, fleet.fleet().witnessSum("cold_overruns")));
            addRatioBound(settings, report, maxP99Ratio);
            return report;
        } finally {
            fleets.forEach(PolicyFleet::close);
        }
    }

    private static void addRatioBound(BenchSettings settings, Report report, double maxP99Ratio) {
        if (settings.policies().size() < 2) {
            return;
        }
        String first = settings.policies().get(0);
        String second = settings.policies().get(1);
        double ratio = report.of(first).get(Measure.P99_US).orElseThrow()
                / report.of(second).get(Measure.P99_US).orElseThrow();
        report.addBound(Bound.atMost("p99 of " + first + " against " + second, maxP99Ratio, ratio));
    }
}
