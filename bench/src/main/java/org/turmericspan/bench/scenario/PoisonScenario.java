package org.turmericspan.bench.scenario;

import java.time.Duration;
import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Bound;
import org.turmericspan.bench.Measure;
import org.turmericspan.bench.Report;
import org.turmericspan.bench.load.CallSpec;
import org.turmericspan.bench.load.LoadPlan;
import org.turmericspan.bench.load.LoadResult;
import org.turmericspan.bench.load.OpenLoop;

/** Repeatedly sends a request that crashes its upstream (a query of death) among harmless requests. */
final class PoisonScenario {
    private static final double LOAD_SHARE = 0.3;
    private static final Duration WORK = Duration.ofMillis(20);
    private static final int POISON_REQUESTS = 50;
    private static final int MAX_CRASHES = 2;
    private static final Duration DEADLINE = Duration.ofSeconds(2);

    Report run(BenchSettings settings) {
        Report report = new Report();
        String policy = settings.policies().get(0);
        double rate = PolicyFleet.rateFor(settings, LOAD_SHARE, WORK);
        report.addNote("load " + Math.round(rate) + " requests/s, and one order that crashes its upstream, sent "
                + POISON_REQUESTS + " times");
        try (PolicyFleet fleet = PolicyFleet.start(settings, policy);
                EventSchedule events = new EventSchedule()) {
            fleet.warmUp(rate, WORK);
            Duration interval = settings.duration().dividedBy(POISON_REQUESTS);
            for (int i = 0; i < POISON_REQUESTS; i++) {
                CallSpec poison = poison(-i);
                events.at(interval.multipliedBy(i), () -> fleet.caller().call(poison));
            }
            LoadResult result = OpenLoop.run(
                    LoadPlan.lookups(PolicyFleet.SERVICE, rate, settings.duration(), WORK, settings.seed()),
                    fleet.caller());
            double crashes = fleet.fleet().witnessSum("crashes");
            report.of(policy).put(result);
            report.of(policy).put(Measure.UPSTREAMS_LOST, crashes);
            report.of(policy).put(Measure.COLD_OVERRUNS, fleet.fleet().witnessSum("cold_overruns"));
            report.addBound(Bound.atMost(policy + ": upstreams lost", MAX_CRASHES, crashes));
        }
        return report;
    }

    private static CallSpec poison(long number) {
        return new CallSpec(number, PolicyFleet.SERVICE, true, 0, 0, WORK, 0, DEADLINE, "poison");
    }
}
