package org.turmericspan.node;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.annotation.JsonProperty;
import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import javax.inject.Singleton;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.Service;
import org.turmericspan.front.StateSection;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.membership.ConfigurationTable;
import org.turmericspan.probing.ProbeAllocation;
import org.turmericspan.probing.ProbeResult;
import org.turmericspan.probing.ProbeSchedule;
import org.turmericspan.probing.ProbeTarget;
import org.turmericspan.probing.Prober;
import org.turmericspan.routing.SlotCoordinator;
import org.turmericspan.routing.SlotTable;
import org.turmericspan.routing.UpstreamState;
import org.turmericspan.upstream.HttpUpstreamProbe;

/** Wires the probes of the upstreams that this node owns. */
@Module
final class ProbeModule {
    private ProbeModule() {}

    @Provides
    @Singleton
    static Consumer<ProbeResult> probeResults(SlotCoordinator slots) {
        return result -> result.report().ifPresent(report -> slots.onProbeResult(result.upstream(), report.signals()));
    }

    @Provides
    @Singleton
    static ProbeSchedule probeSchedule(RandomGenerator random) {
        return new ProbeSchedule(random);
    }

    @Provides
    @Singleton
    static HttpUpstreamProbe probe(MonotonicClock clock) {
        return new HttpUpstreamProbe(clock);
    }

    @Provides
    @Singleton
    static Prober prober(
            ProbeSchedule schedule,
            SlotTable slots,
            ConfigurationTable configurations,
            HttpUpstreamProbe probe,
            Consumer<ProbeResult> results,
            MetricRegistry metrics,
            MonotonicClock clock) {
        Supplier<List<ProbeTarget>> targets = () -> ProbeAllocation.allocate(
                configurations.current(),
                slots.upstreamStates().stream().map(UpstreamState::upstream).toList());
        Consumer<ProbeResult> countingConsumer = countingConsumer(metrics);
        return new Prober(schedule, targets, probe, countingConsumer.andThen(results), clock);
    }

    @Provides
    @IntoSet
    static StateSection probing(ProbeSchedule schedule, ConfigurationTable configurations) {
        return NamedSection.of("probing", () -> probingDump(schedule, configurations.current()));
    }

    private static List<ServiceProbingDump> probingDump(ProbeSchedule schedule, Configuration configuration) {
        Map<ServiceId, List<ProbeTarget>> byService =
                schedule.targets().stream().collect(Collectors.groupingBy(ProbeTarget::service));
        return configuration.services().values().stream()
                .filter(service -> byService.containsKey(service.id()))
                .map(service -> ServiceProbingDump.of(service, byService.get(service.id())))
                .toList();
    }

    /** Counts probes and their cost, so that the sum over all nodes can be compared with the probe budget. */
    private static Consumer<ProbeResult> countingConsumer(MetricRegistry metrics) {
        Meter probes = metrics.meter("probe.calls");
        Meter failedProbes = metrics.meter("probe.unanswered");
        Meter bytes = metrics.meter("probe.bytes");
        Meter upstreamMicros = metrics.meter("probe.upstream_us");
        return result -> {
            probes.mark();
            if (result.report().isEmpty()) {
                failedProbes.mark();
            }
            result.report().ifPresent(report -> {
                bytes.mark(report.bytes());
                upstreamMicros.mark(
                        TimeUnit.NANOSECONDS.toMicros(report.latency().toNanos()));
            });
        };
    }

    private record ServiceProbingDump(
            String service,
            int upstreams,
            @JsonProperty("most_per_second") double maxProbesPerSecond,
            @JsonProperty("service_budget_per_second") int serviceBudgetPerSecond) {
        static ServiceProbingDump of(Service service, List<ProbeTarget> targets) {
            double nanosPerSecond = Duration.ofSeconds(1).toNanos();
            double maxPerSecond = targets.stream()
                    .mapToDouble(target -> nanosPerSecond / target.period().toNanos())
                    .sum();
            return new ServiceProbingDump(
                    service.id().value(), targets.size(), maxPerSecond, service.probesPerSecond());
        }
    }
}
