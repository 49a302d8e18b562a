package org.turmericspan.bench.scenario;

import java.time.Duration;
import java.util.List;
import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Bound;
import org.turmericspan.bench.Measure;
import org.turmericspan.bench.Report;
import org.turmericspan.standins.fleet.FleetNode;

/** Publishes again and again, and times until the last node has the new configuration in force. */
final class ConfigScenario {
    private static final double LATEST_MILLIS = 5_000;
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final int CUT_SHARE = 3;
    private static final double NANOS_PER_MILLI = 1_000_000;

    Report run(BenchSettings settings) {
        String policy = settings.policies().get(0);
        Report report = new Report();
        report.addNote(
                "publications one after the other; in the second half a third of the nodes is cut from the platform");
        try (PolicyFleet fleet = PolicyFleet.startProxied(settings, policy)) {
            double readsBefore = fleet.fleet().platformReads();
            long startNanos = System.nanoTime();
            double worst = publishUntil(
                    fleet, startNanos + settings.duration().dividedBy(2).toNanos());
            cutFromPlatform(fleet);
            worst = Math.max(
                    worst, publishUntil(fleet, startNanos + settings.duration().toNanos()));
            double seconds = (System.nanoTime() - startNanos)
                    / NANOS_PER_MILLI
                    / Duration.ofSeconds(1).toMillis();
            report.of(policy).put(Measure.CONFIG_IN_FORCE_MS, worst);
            report.of(policy)
                    .put(Measure.PLATFORM_READS_PER_S, (fleet.fleet().platformReads() - readsBefore) / seconds);
            report.addBound(Bound.atMost(policy + ": in force on the last node, ms", LATEST_MILLIS, worst));
        }
        return report;
    }

    private static double publishUntil(PolicyFleet fleet, long endNanos) {
        double worst = 0;
        while (System.nanoTime() < endNanos) {
            long publishedNanos = System.nanoTime();
            fleet.fleet().publish();
            fleet.fleet().awaitInForce(LIMIT);
            worst = Math.max(worst, (System.nanoTime() - publishedNanos) / NANOS_PER_MILLI);
        }
        return worst;
    }

    private static void cutFromPlatform(PolicyFleet fleet) {
        List<FleetNode> nodes = fleet.fleet().nodes();
        for (FleetNode node : nodes.subList(0, nodes.size() / CUT_SHARE)) {
            String control = fleet.fleet().proxyControlUrl();
            fleet.fleet().http().post(control + "/control/fault?refuse=true&port=" + node.platformLinkPort());
            fleet.fleet().http().post(control + "/control/cut?port=" + node.platformLinkPort());
        }
    }
}
