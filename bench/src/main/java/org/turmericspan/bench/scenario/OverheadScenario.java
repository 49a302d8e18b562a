package org.turmericspan.bench.scenario;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.Bound;
import org.turmericspan.bench.Measure;
import org.turmericspan.bench.Report;
import org.turmericspan.bench.load.Caller;
import org.turmericspan.bench.load.LoadPlan;
import org.turmericspan.bench.load.LoadResult;
import org.turmericspan.bench.load.OpenLoop;
import org.turmericspan.standins.fleet.FleetUpstream;

/** Measures the latency that a node adds: the same calls are made directly and through a node, in alternation. */
final class OverheadScenario {
    private static final int ROUNDS = 4;
    private static final double RATE_PER_SECOND = 400;
    private static final double WARM_UP_RATE_PER_SECOND = 1_500;
    private static final Duration WARM_UP = Duration.ofSeconds(12);
    private static final double P50 = 50.0;
    private static final double P99 = 99.0;
    private static final double MAX_ADDED_P99_MICROS = 310;
    private static final double NANOS_PER_MICRO = 1_000;
    private static final String DIRECT = "direct";
    private static final String THROUGH_NODE = "keepers";

    Report run(BenchSettings settings) {
        Report report = new Report();
        report.addNote("load " + RATE_PER_SECOND + " requests/s of no work, direct and through a node in turns");
        try (PolicyFleet fleet = PolicyFleet.start(settings, THROUGH_NODE)) {
            fleet.fleet().warmUpstreams();
            Caller direct = directCaller(fleet);
            warmUp(settings, direct);
            warmUp(settings, fleet.caller());
            LoadResult directSum = new LoadResult();
            LoadResult throughNodeSum = new LoadResult();
            Duration processorBefore = ProcessorTime.of(fleet.fleet());
            for (int round = 0; round < ROUNDS; round++) {
                directSum.add(OpenLoop.run(plan(settings, round), direct));
                throughNodeSum.add(OpenLoop.run(plan(settings, round), fleet.caller()));
            }
            Duration processor = ProcessorTime.of(fleet.fleet()).minus(processorBefore);
            report.of(THROUGH_NODE)
                    .put(Measure.CALL_CPU_US, (double) processor.toNanos() / NANOS_PER_MICRO / throughNodeSum.total());
            report.of(DIRECT).put(directSum);
            report.of(THROUGH_NODE).put(throughNodeSum);
            double addedP50Micros = throughNodeSum.micros(P50) - directSum.micros(P50);
            double addedP99Micros = throughNodeSum.micros(P99) - directSum.micros(P99);
            report.of(THROUGH_NODE).put(Measure.ADDED_P50_US, addedP50Micros);
            report.of(THROUGH_NODE).put(Measure.ADDED_P99_US, addedP99Micros);
            report.addBound(Bound.atMost("added at the 99th percentile, us", MAX_ADDED_P99_MICROS, addedP99Micros));
        }
        return report;
    }

    /** Runs load until the JIT compilers of the processes on the path have compiled the hot code. */
    private static void warmUp(BenchSettings settings, Caller caller) {
        OpenLoop.run(
                LoadPlan.lookups(PolicyFleet.SERVICE, WARM_UP_RATE_PER_SECOND, WARM_UP, Duration.ZERO, settings.seed()),
                caller);
    }

    private static LoadPlan plan(BenchSettings settings, int round) {
        return LoadPlan.lookups(
                PolicyFleet.SERVICE,
                RATE_PER_SECOND,
                settings.duration().dividedBy(2 * ROUNDS),
                Duration.ZERO,
                settings.seed() + round);
    }

    private static Caller directCaller(PolicyFleet fleet) {
        List<FleetUpstream> upstreams = fleet.fleet().upstreams();
        AtomicInteger next = new AtomicInteger();
        return spec -> {
            FleetUpstream upstream = upstreams.get(Math.floorMod(next.getAndIncrement(), upstreams.size()));
            return fleet.calls().send("http://127.0.0.1:" + upstream.port(), spec, "");
        };
    }
}
