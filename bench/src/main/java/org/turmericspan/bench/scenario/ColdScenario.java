package org.turmericspan.bench.scenario;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Bound;
import org.turmericspan.bench.Measure;
import org.turmericspan.bench.Report;
import org.turmericspan.bench.load.LoadPlan;
import org.turmericspan.bench.load.LoadResult;
import org.turmericspan.bench.load.OpenLoop;
import org.turmericspan.standins.fleet.FleetUpstream;

/** Crashes upstreams under load and counts how often a restarted, cold one held more requests than its capacity. */
final class ColdScenario {
    private static final double LOAD_SHARE = 0.5;
    private static final Duration WORK = Duration.ofMillis(20);
    private static final Duration CRASH_INTERVAL = Duration.ofMillis(500);

    Report run(BenchSettings settings) {
        Report report = new Report();
        double rate = PolicyFleet.rateFor(settings, LOAD_SHARE, WORK);
        report.addNote("load " + Math.round(rate) + " requests/s; an upstream crashes and comes back cold every "
                + CRASH_INTERVAL.toMillis() + " ms");
        for (String policy : settings.policies()) {
            try (PolicyFleet fleet = PolicyFleet.start(settings, policy);
                    EventSchedule events = new EventSchedule()) {
                fleet.warmUp(rate, WORK);
                long overrunsBefore = fleet.fleet().witnessSum("cold_overruns");
                scheduleCrashes(settings, fleet, events);
                LoadResult result = OpenLoop.run(
                        LoadPlan.lookups(PolicyFleet.SERVICE, rate, settings.duration(), WORK, settings.seed()),
                        fleet.caller());
                double overruns = fleet.fleet().witnessSum("cold_overruns") - overrunsBefore;
                report.of(policy).put(result);
                report.of(policy).put(Measure.COLD_OVERRUNS, overruns);
                report.of(policy).put(Measure.UPSTREAMS_LOST, fleet.fleet().witnessSum("crashes"));
                report.addTimeline(policy, result.timeline());
                if (policy.equals(settings.policies().get(0))) {
                    report.addBound(Bound.atMost(policy + ": overruns of cold upstreams", 0, overruns));
                }
            }
        }
        return report;
    }

    private static void scheduleCrashes(BenchSettings settings, PolicyFleet fleet, EventSchedule events) {
        Random random = new Random(settings.seed());
        List<FleetUpstream> upstreams = fleet.fleet().upstreams();
        Duration offset = CRASH_INTERVAL;
        while (offset.compareTo(settings.duration()) < 0) {
            int port = upstreams.get(random.nextInt(upstreams.size())).port();
            events.at(
                    offset,
                    () -> fleet.fleet()
                            .http()
                            .post(fleet.fleet().upstreamControlUrl() + "/control/crash?port=" + port));
            offset = offset.plus(CRASH_INTERVAL);
        }
    }
}
