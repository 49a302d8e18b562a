package org.turmericspan.bench.scenario;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Bound;
import org.turmericspan.bench.Measure;
import org.turmericspan.bench.Report;
import org.turmericspan.bench.load.CallOutcome;
import org.turmericspan.bench.load.LoadPlan;
import org.turmericspan.bench.load.LoadResult;
import org.turmericspan.bench.load.OpenLoop;

/** Takes an availability zone out and back under load, and compares the p99 with the time before. */
final class ZoneScenario {
    private static final double LOAD_SHARE = 0.5;
    private static final Duration WORK = Duration.ofMillis(20);
    private static final String ZONE = "zone-b";
    private static final int PARTS = 3;
    private static final double P99 = 99.0;
    private static final double MAX_P99_RATIO = 1.5;
    private static final double MAX_NEW_WORK_MILLIS = 3_000;
    private static final long MILLIS_PER_SECOND = 1_000;

    Report run(BenchSettings settings) {
        Report report = new Report();
        double rate = PolicyFleet.rateFor(settings, LOAD_SHARE, WORK);
        report.addNote("load " + Math.round(rate) + " requests/s, half of all slots busy; " + ZONE
                + " goes out after a third and comes back after two thirds");
        for (String policy : settings.policies()) {
            runPolicy(settings, policy, rate, report);
        }
        addEvents(report, settings.duration().dividedBy(PARTS));
        return report;
    }

    private static void runPolicy(BenchSettings settings, String policy, double rate, Report report) {
        Duration part = settings.duration().dividedBy(PARTS);
        AtomicLong removedMillis = new AtomicLong();
        AtomicLong lastStartedMillis = new AtomicLong();
        try (PolicyFleet fleet = PolicyFleet.start(settings, policy);
                EventSchedule events = new EventSchedule()) {
            fleet.warmUp(rate, WORK);
            events.at(part, () -> {
                removedMillis.set(System.currentTimeMillis());
                fleet.fleet().setZone(ZONE, false);
            });
            events.at(part.multipliedBy(2), () -> {
                lastStartedMillis.set(lastStartedIn(fleet));
                fleet.fleet().setZone(ZONE, true);
            });
            LoadResult result = OpenLoop.run(
                    LoadPlan.lookups(PolicyFleet.SERVICE, rate, settings.duration(), WORK, settings.seed()),
                    fleet.caller());
            report.of(policy).put(result);
            report.of(policy).put(Measure.COLD_OVERRUNS, fleet.fleet().witnessSum("cold_overruns"));
            double newWorkMillis = Math.max(0, lastStartedMillis.get() - removedMillis.get());
            report.of(policy).put(Measure.LATE_NEW_WORK_MS, newWorkMillis);
            double ratio = ratio(settings, result, part);
            report.of(policy).put(Measure.P99_RATIO_EVENT, ratio);
            report.addTimeline(policy, result.timeline());
            addBounds(report, policy, result, newWorkMillis, ratio);
        }
    }

    private static double ratio(BenchSettings settings, LoadResult result, Duration part) {
        double before = result.timeline().micros(Duration.ZERO, part, P99);
        double during = result.timeline().micros(part, settings.duration(), P99);
        return during / before;
    }

    private static void addBounds(Report report, String policy, LoadResult result, double newWorkMillis, double ratio) {
        report.addBound(Bound.atMost(policy + ": latest new work in the zone, ms", MAX_NEW_WORK_MILLIS, newWorkMillis));
        report.addBound(Bound.atMost(policy + ": p99 after the zone left against before", MAX_P99_RATIO, ratio));
        report.addBound(Bound.atMost(
                policy + ": idempotent requests lost", 0, result.total() - result.count(CallOutcome.SERVED)));
    }

    private static void addEvents(Report report, Duration part) {
        double seconds = (double) part.toMillis() / MILLIS_PER_SECOND;
        report.addEvent(seconds, ZONE + " out");
        report.addEvent(2 * seconds, ZONE + " back");
    }

    private static long lastStartedIn(PolicyFleet fleet) {
        return fleet.fleet().upstreams().stream()
                .filter(upstream -> upstream.zone().equals(ZONE))
                .mapToLong(upstream -> fleet.fleet()
                        .witness()
                        .path(Integer.toString(upstream.port()))
                        .path("last_started_ms")
                        .asLong())
                .max()
                .orElse(0);
    }
}
