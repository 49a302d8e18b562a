package org.turmericspan.bench.scenario;

import java.time.Duration;
import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Bound;
import org.turmericspan.bench.Measure;
import org.turmericspan.bench.Measures;
import org.turmericspan.bench.Report;
import org.turmericspan.bench.load.CallOutcome;
import org.turmericspan.bench.load.LoadPlan;
import org.turmericspan.bench.load.LoadResult;
import org.turmericspan.bench.load.OpenLoop;

/** Offers load at the capacity and then at twice the capacity, and compares the goodput. */
final class OverloadScenario {
    private static final Duration WORK = Duration.ofMillis(20);
    private static final Duration DEADLINE = Duration.ofSeconds(1);
    private static final double MIN_GOODPUT_RATIO = 0.9;
    private static final double P99 = 99.0;
    private static final double MICROS_PER_MILLI = 1_000;

    Report run(BenchSettings settings) {
        Report report = new Report();
        double rate = PolicyFleet.rateFor(settings, 1, WORK);
        report.addNote("load " + Math.round(rate) + " and " + Math.round(2 * rate) + " requests/s, deadline "
                + DEADLINE.toMillis() + " ms; the table shows the latter");
        for (String policy : settings.policies()) {
            try (PolicyFleet fleet = PolicyFleet.start(settings, policy)) {
                fleet.warmUp(rate / 2, WORK);
                LoadResult atCapacity = OpenLoop.run(plan(settings, rate), fleet.caller());
                LoadResult atTwiceCapacity = OpenLoop.run(plan(settings, 2 * rate), fleet.caller());
                double ratio =
                        (double) atTwiceCapacity.count(CallOutcome.SERVED) / atCapacity.count(CallOutcome.SERVED);
                Measures measures = report.of(policy);
                measures.put(atTwiceCapacity);
                measures.put(Measure.GOODPUT_RATIO, ratio);
                measures.put(Measure.COLD_OVERRUNS, fleet.fleet().witnessSum("cold_overruns"));
                addBounds(report, settings, policy, ratio, atTwiceCapacity);
            }
        }
        return report;
    }

    private static void addBounds(
            Report report, BenchSettings settings, String policy, double ratio, LoadResult atTwiceCapacity) {
        if (policy.equals(settings.policies().get(0))) {
            report.addBound(
                    Bound.atLeast(policy + ": goodput at twice the capacity against once", MIN_GOODPUT_RATIO, ratio));
            report.addBound(Bound.atMost(
                    policy + ": p99 of served requests, ms",
                    DEADLINE.toMillis(),
                    (double) atTwiceCapacity.micros(P99) / MICROS_PER_MILLI));
        }
    }

    private static LoadPlan plan(BenchSettings settings, double rate) {
        return LoadPlan.lookups(PolicyFleet.SERVICE, rate, settings.duration().dividedBy(2), WORK, settings.seed())
                .withDeadline(DEADLINE);
    }
}
