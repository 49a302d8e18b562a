package org.turmericspan.bench.scenario;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Bound;
import org.turmericspan.bench.Measure;
import org.turmericspan.bench.Measures;
import org.turmericspan.bench.Report;

/** Measures the resource usage of one node without calls, at several fleet sizes. */
final class ControlScenario {
    private static final double MAX_CPU_PERCENT = 1.5;
    private static final double MAX_BYTES_PER_SECOND = 18_000;
    private static final Duration SETTLE_TIME = Duration.ofSeconds(30);
    private static final double PERCENT = 100;
    private static final int SIZES = 3;
    private static final Duration PARK_INTERVAL = Duration.ofMillis(100);

    Report run(BenchSettings settings) {
        Report report = new Report();
        report.addNote("no calls; each column is one size: nodes x upstreams");
        for (int part = 1; part <= SIZES; part++) {
            int nodes = Math.max(2, settings.nodes() * part / SIZES);
            int upstreams = Math.max(2, settings.upstreams() * part / SIZES);
            measure(withSize(settings, nodes, upstreams), nodes + "x" + upstreams, report);
        }
        return report;
    }

    private static BenchSettings withSize(BenchSettings settings, int nodes, int upstreams) {
        return new BenchSettings(
                settings.scenario(),
                settings.duration(),
                settings.seed(),
                nodes,
                upstreams,
                settings.policies(),
                settings.preset(),
                settings.out());
    }

    private static void measure(BenchSettings settings, String title, Report report) {
        try (PolicyFleet fleet = PolicyFleet.start(settings, settings.policies().get(0))) {
            park(SETTLE_TIME);
            Duration processorBefore = ProcessorTime.of(fleet.fleet());
            double bytesBefore = peerBytes(fleet);
            double probesBefore = fleet.fleet().witnessSum("probes");
            double readsBefore = fleet.fleet().platformReads();
            park(settings.duration());
            double seconds = settings.duration().toSeconds();
            double nodes = settings.nodes();
            Measures measures = report.of(title);
            Duration processor = ProcessorTime.of(fleet.fleet()).minus(processorBefore);
            double cpuPercent =
                    PERCENT * processor.toNanos() / settings.duration().toNanos() / nodes;
            double bytesPerSecond = (peerBytes(fleet) - bytesBefore) / seconds / nodes;
            measures.put(Measure.CONTROL_CPU_PCT, cpuPercent);
            measures.put(Measure.CONTROL_BYTES_PER_S, bytesPerSecond);
            measures.put(Measure.CONTROL_HEAP_BYTES, heapBytes(fleet) / nodes);
            measures.put(Measure.PROBES_PER_S, (fleet.fleet().witnessSum("probes") - probesBefore) / seconds);
            measures.put(Measure.PLATFORM_READS_PER_S, (fleet.fleet().platformReads() - readsBefore) / seconds);
            report.addBound(Bound.atMost(title + ": processor, % of a core", MAX_CPU_PERCENT, cpuPercent));
            report.addBound(Bound.atMost(title + ": bytes/s to and from peers", MAX_BYTES_PER_SECOND, bytesPerSecond));
        }
    }

    private static double peerBytes(PolicyFleet fleet) {
        return fleet.fleet().nodes().stream()
                .mapToDouble(node -> peerBytes(fleet.fleet().http().get(node.operatorUrl() + "/v1/metrics")))
                .sum();
    }

    private static double heapBytes(PolicyFleet fleet) {
        return fleet.fleet().nodes().stream()
                .mapToDouble(node -> LiveHeap.bytes(node.process().pid()))
                .sum();
    }

    private static double peerBytes(String metrics) {
        return List.of(metrics.split("\n")).stream()
                .filter(line -> line.startsWith("turmericspan_peer_") && line.contains("bytes"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    private static void park(Duration span) {
        long endNanos = System.nanoTime() + span.toNanos();
        while (System.nanoTime() < endNanos) {
            LockSupport.parkNanos(PARK_INTERVAL.toNanos());
        }
    }
}
