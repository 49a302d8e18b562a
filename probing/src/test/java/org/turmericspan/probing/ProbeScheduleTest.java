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
    private static final int BUDGET = 20;
    private static final int UPSTREAMS = 30;

    private final ManualClock clock = new ManualClock();
    private final ProbeSchedule schedule = new ProbeSchedule(new SplittableRandom(11));
    private final Configuration configuration = new ConfigurationReader().read(document());
    private final List<UpstreamId> all =
            configuration.upstreams().keySet().stream().sorted().toList();

    @Test
    void probesOfAServiceStayUnderItsBudget() {
        assertThat(probesInTenSeconds()).isBetween(BUDGET * 5, BUDGET * 10);
    }

    @Test
    void newKeeperDoesNotProbeAtOnce() {
        schedule.setTargets(ProbeAllocation.allocate(configuration, all), clock.nowNanos());

        assertThat(schedule.takeDue(clock.nowNanos())).isEmpty();
    }

    @Test
    void keeperChangeEverySecondStaysUnderTheBudget() {
        int sent = 0;
        for (int second = 0; second < 10; second++) {
            schedule.setTargets(ProbeAllocation.allocate(configuration, List.of()), clock.nowNanos());
            schedule.setTargets(ProbeAllocation.allocate(configuration, all), clock.nowNanos());
            sent += probes(Duration.ofSeconds(1));
        }
        assertThat(sent).isLessThanOrEqualTo(BUDGET * 10);
    }

    @Test
    void unansweredProbeIsNotFollowedByAnother() {
        List<UpstreamId> one = all.subList(0, 1);
        schedule.setTargets(ProbeAllocation.allocate(configuration, one), clock.nowNanos());
        clock.advance(Duration.ofMinutes(1));
        assertThat(schedule.takeDue(clock.nowNanos())).hasSize(1);
        clock.advance(Duration.ofMinutes(1));

        assertThat(schedule.takeDue(clock.nowNanos())).isEmpty();
        schedule.ended(one.get(0));
        assertThat(schedule.takeDue(clock.nowNanos())).hasSize(1);
    }

    @Test
    void serviceWithoutBudgetIsNotProbed() {
        Configuration none = new ConfigurationReader()
                .read(document().replace("\"probes_per_second\": " + BUDGET, "\"probes_per_second\": 0"));

        assertThat(ProbeAllocation.allocate(none, all)).isEmpty();
    }

    @Test
    void proberHandsOnWhatWasAnswered() {
        List<ProbeResult> results = new ArrayList<>();
        List<SocketAddress> probed = new ArrayList<>();
        UpstreamProbe silent = (address, timeout) -> {
            probed.add(address);
            return CompletableFuture.completedFuture(Optional.<ProbeReport>empty());
        };
        List<ProbeTarget> allocate = ProbeAllocation.allocate(configuration, all);
        Prober prober = new Prober(schedule, () -> allocate, silent, results::add, clock);

        prober.tick();
        clock.advance(Duration.ofSeconds(10));
        prober.tick();

        assertThat(probed).hasSize(UPSTREAMS);
        assertThat(results)
                .hasSize(UPSTREAMS)
                .allMatch(result -> result.report().isEmpty());
    }

    private int probesInTenSeconds() {
        schedule.setTargets(ProbeAllocation.allocate(configuration, all), clock.nowNanos());
        return probes(Duration.ofSeconds(10));
    }

    private int probes(Duration span) {
        int sent = 0;
        for (long tick = 0; tick < span.dividedBy(TICK); tick++) {
            clock.advance(TICK);
            List<ProbeTarget> due = schedule.takeDue(clock.nowNanos());
            due.forEach(target -> schedule.ended(target.upstream()));
            sent += due.size();
        }
        return sent;
    }

    private static String document() {
        String upstreams = IntStream.range(0, UPSTREAMS)
                .mapToObj(i -> "{\"kind\": \"Upstream\", \"name\": \"u-" + i + "\", \"service\": \"ordering\","
                        + " \"availability_zone\": \"zone-a\", \"address\": \"127.0.0.1:" + (10_000 + i) + "\"}")
                .collect(Collectors.joining(","));
        return "{\"version\": 1, \"objects\": [{\"kind\": \"AvailabilityZone\", \"name\": \"zone-a\","
                + " \"region\": \"region-one\"}, {\"kind\": \"Service\", \"name\": \"ordering\","
                + " \"probes_per_second\": " + BUDGET + "}," + upstreams + "]}";
    }
}
