package org.turmericspan.bench.scenario;

import java.time.Duration;
import java.util.List;
import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Bound;
import org.turmericspan.bench.Measure;
import org.turmericspan.bench.Report;
import org.turmericspan.bench.load.CallOutcome;
import org.turmericspan.bench.load.LoadPlan;
import org.turmericspan.bench.load.LoadResult;
import org.turmericspan.bench.load.OpenLoop;
import org.turmericspan.standins.fleet.FleetNode;

/** Gracefully stops and restarts each node in turn, under load with long requests in flight. */
final class StopScenario {
    private static final double LOAD_SHARE = 0.4;
    private static final Duration WORK = Duration.ofMillis(300);

    Report run(BenchSettings settings) {
        Report report = new Report();
        String policy = settings.policies().get(0);
        double rate = PolicyFleet.rateFor(settings, LOAD_SHARE, WORK);
        report.addNote("load " + Math.round(rate) + " requests/s of " + WORK.toMillis()
                + " ms; each node is stopped as planned and started again, one after the other");
        try (PolicyFleet fleet = PolicyFleet.start(settings, policy);
                EventSchedule events = new EventSchedule()) {
            fleet.warmUp(rate, WORK);
            List<FleetNode> nodes = fleet.fleet().nodes();
            Duration restartInterval = settings.duration().dividedBy(nodes.size() + 1L);
            for (int i = 0; i < nodes.size(); i++) {
                FleetNode node = nodes.get(i);
                events.at(restartInterval.multipliedBy(i), () -> restart(fleet, node));
            }
            LoadResult result = OpenLoop.run(
                    LoadPlan.lookups(PolicyFleet.SERVICE, rate, settings.duration(), WORK, settings.seed()),
                    fleet.caller());
            report.of(policy).put(result);
            report.of(policy).put(Measure.COLD_OVERRUNS, fleet.fleet().witnessSum("cold_overruns"));
            report.addTimeline(policy, result.timeline());
            report.addBound(Bound.atMost(
                    policy + ": requests cut",
                    0,
                    result.count(CallOutcome.FAILED) + result.count(CallOutcome.UNKNOWN)));
        }
        return report;
    }

    private static void restart(PolicyFleet fleet, FleetNode node) {
        fleet.fleet().setLeaving(node.name(), true);
        node.process().stop();
        node.process().start();
        fleet.fleet().setLeaving(node.name(), false);
    }
}
