package org.turmericspan.probing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.ProbeReport;
import org.turmericspan.calls.UpstreamProbe;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.ConfigurationReader;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;

final class ProbeScheduleTest {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final int PROBES_PER_SECOND = 20;
    private static final int UPSTREAM_COUNT = 30;

    private final ManualClock clock = new ManualClock();
    private final ProbeSchedule schedule = new ProbeSchedule(new SplittableRandom(11));
    private final Configuration configuration = new ConfigurationReader().read(document());
    private final List<UpstreamId> allUpstreams =
            configuration.upstreams().keySet().stream().sorted().toList();

    @Test
    void probesOfAServiceStayWithinItsBudget() {
        assertThat(probesInTenSeconds()).isBetween(PROBES_PER_SECOND * 5, PROBES_PER_SECOND * 10);
    }

    @Test
    void newOwnerDoesNotProbeImmediately() {
        schedule.setTargets(ProbeAllocation.allocate(configuration, allUpstreams), clock.nowNanos());

        assertThat(schedule.pollDue(clock.nowNanos())).isEmpty();
    }

    @Test
    void ownerChangeEverySecondStaysWithinTheBudget() {
        int sent = 0;
        for (int second = 0; second < 10; second++) {
            schedule.setTargets(ProbeAllocation.allocate(configuration, List.of()), clock.nowNanos());
            schedule.setTargets(ProbeAllocation.allocate(configuration, allUpstreams), clock.nowNanos());
            sent += sendDueProbes(Duration.ofSeconds(1));
        }
        assertThat(sent).isLessThanOrEqualTo(PROBES_PER_SECOND * 10);
    }

    @Test
    void noSecondProbeIsSentWhileOneIsInFlight() {
        List<UpstreamId> single = allUpstreams.subList(0, 1);
        schedule.setTargets(ProbeAllocation.allocate(configuration, single), clock.nowNanos());
        clock.advance(Duration.ofMinutes(1));
        assertThat(schedule.pollDue(clock.nowNanos())).hasSize(1);
        clock.advance(Duration.ofMinutes(1));

        assertThat(schedule.pollDue(clock.nowNanos())).isEmpty();
        schedule.markCompleted(single.get(0));
        assertThat(schedule.pollDue(clock.nowNanos())).hasSize(1);
    }

    @Test
    void serviceWithoutBudgetIsNotProbed() {
        Configuration withoutBudget = new ConfigurationReader()
                .read(document().replace("\"probes_per_second\": " + PROBES_PER_SECOND, "\"probes_per_second\": 0"));

        assertThat(ProbeAllocation.allocate(withoutBudget, allUpstreams)).isEmpty();
    }

    @Test
    void proberPassesOnEmptyResults() {
        List<ProbeResult> results = new ArrayList<>();
        List<SocketAddress> probed = new ArrayList<>();
        UpstreamProbe unresponsive = (address, timeout) -> {
            probed.add(address);
            return CompletableFuture.completedFuture(Optional.<ProbeReport>empty());
        };
        List<ProbeTarget> targets = ProbeAllocation.allocate(configuration, allUpstreams);
        Prober prober = new Prober(schedule, () -> targets, unresponsive, results::add, clock);

        prober.tick();
        clock.advance(Duration.ofSeconds(10));
        prober.tick();

        assertThat(probed).hasSize(UPSTREAM_COUNT);
        assertThat(results)
                .hasSize(UPSTREAM_COUNT)
                .allMatch(result -> result.report().isEmpty());
    }

    private int probesInTenSeconds() {
        schedule.setTargets(ProbeAllocation.allocate(configuration, allUpstreams), clock.nowNanos());
        return sendDueProbes(Duration.ofSeconds(10));
    }

    private int sendDueProbes(Duration duration) {
        int sent = 0;
        for (long tick = 0; tick < duration.dividedBy(TICK); tick++) {
            clock.advance(TICK);
            List<ProbeTarget> due = schedule.pollDue(clock.nowNanos());
            due.forEach(target -> schedule.markCompleted(target.upstream()));
            sent += due.size();
        }
        return sent;
    }

    private static String document() {
        String upstreams = IntStream.range(0, UPSTREAM_COUNT)
                .mapToObj(i -> "{\"kind\": \"Upstream\", \"name\": \"u-" + i + "\", \"service\": \"ordering\","
                        + " \"availability_zone\": \"zone-a\", \"address\": \"127.0.0.1:" + (10_000 + i) + "\"}")
                .collect(Collectors.joining(","));
        return "{\"version\": 1, \"objects\": [{\"kind\": \"AvailabilityZone\", \"name\": \"zone-a\","
                + " \"region\": \"region-one\"}, {\"kind\": \"Service\", \"name\": \"ordering\","
                + " \"probes_per_second\": " + PROBES_PER_SECOND + "}," + upstreams + "]}";
    }
}
