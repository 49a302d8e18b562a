package org.turmericspan.bench.scenario;

import java.time.Duration;
import java.util.List;
import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Bound;
import org.turmericspan.bench.Measure;
import org.turmericspan.bench.Report;
import org.turmericspan.standins.fleet.FleetNode;

/** Publishes configurations repeatedly and measures the time until each is active on the last node. */
final class ConfigScenario {
    private static final double MAX_ACTIVATION_MILLIS = 5_000;
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(20);
    private static final int ISOLATED_DIVISOR = 3;
    private static final double NANOS_PER_MILLI = 1_000_000;

    Report run(BenchSettings settings) {
        String policy = settings.policies().get(0);
        Report report = new Report();
        report.addNote(
                "publications one after the other; in the second half a third of the nodes is cut from the platform");
        try (PolicyFleet fleet = PolicyFleet.startProxied(settings, policy)) {
            double readsBefore = fleet.fleet().platformReads();
            long startNanos = System.nanoTime();
            double worstMillis = publishUntil(
                    fleet, startNanos + settings.duration().dividedBy(2).toNanos());
            isolateFromPlatform(fleet);
            worstMillis = Math.max(
                    worstMillis,
                    publishUntil(fleet, startNanos + settings.duration().toNanos()));
            double seconds = (System.nanoTime() - startNanos)
                    / NANOS_PER_MILLI
                    / Duration.ofSeconds(1).toMillis();
            report.of(policy).put(Measure.CONFIG_IN_FORCE_MS, worstMillis);
            report.of(policy)
                    .put(Measure.PLATFORM_READS_PER_S, (fleet.fleet().platformReads() - readsBefore) / seconds);
            report.addBound(
                    Bound.atMost(policy + ": in force on the last node, ms", MAX_ACTIVATION_MILLIS, worstMillis));
        }
        return report;
    }

    private static double publishUntil(PolicyFleet fleet, long endNanos) {
        double worstMillis = 0;
        while (System.nanoTime() < endNanos) {
            long publishedNanos = System.nanoTime();
            fleet.fleet().publish();
            fleet.fleet().awaitInForce(WAIT_LIMIT);
            worstMillis = Math.max(worstMillis, (System.nanoTime() - publishedNanos) / NANOS_PER_MILLI);
        }
        return worstMillis;
    }

    private static void isolateFromPlatform(PolicyFleet fleet) {
        List<FleetNode> nodes = fleet.fleet().nodes();
        for (FleetNode node : nodes.subList(0, nodes.size() / ISOLATED_DIVISOR)) {
            String control = fleet.fleet().proxyControlUrl();
            fleet.fleet().http().post(control + "/control/fault?refuse=true&port=" + node.platformLinkPort());
            fleet.fleet().http().post(control + "/control/cut?port=" + node.platformLinkPort());
        }
    }
}
