package org.turmericspan.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.turmericspan.standins.fleet.Await;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetNode;
import org.turmericspan.standins.fleet.FleetPlan;

/**
 * Guards against overloading cold upstreams and against new work on upstreams that are leaving. Both come about when
 * nodes act on an outdated list: after a restart, after a process pause, or while the platform's list lags, two nodes
 * may each believe that they own the same upstream.
 */
final class ColdUpstreamTest {
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(30);
    private static final long NEW_WORK_LIMIT_MILLIS = 3_000;

    @Test
    void coldUpstreamsAreNotOverrunWhileAllNodesAreReplacedAndTheListLags() {
        try (Fleet fleet = Fleet.start(plan("keepers"));
                Traffic traffic = Traffic.start(fleet)) {
            traffic.awaitResponses(100, WAIT_LIMIT);
            for (FleetNode node : fleet.nodes()) {
                node.process().kill();
                node.process().start();
                fleet.awaitReady(node, WAIT_LIMIT);
            }
            traffic.awaitResponses(100, WAIT_LIMIT);

            assertThat(fleet.witnessSum("cold_overruns")).isZero();
            assertThat(fleet.witnessSum("crashes")).isZero();
        }
    }

    @Test
    void coldUpstreamsAreOverrunByTheBaseline() {
        try (Fleet fleet = Fleet.start(plan("baseline"));
                Traffic traffic = Traffic.start(fleet)) {
            Await.until("a cold upstream is overrun", WAIT_LIMIT, () -> fleet.witnessSum("cold_overruns") > 0);
            assertThat(traffic.sent()).isPositive();
        }
    }

    @Test
    void nothingStartsInAnAvailabilityZoneThreeSecondsAfterItWasTakenOut() {
        try (Fleet fleet = Fleet.start(plan("keepers"));
                Traffic traffic = Traffic.start(fleet)) {
            traffic.awaitResponses(100, WAIT_LIMIT);
            long removedMillis = System.currentTimeMillis();
            fleet.setZone("zone-a", false);
            fleet.awaitInForce(WAIT_LIMIT);
            traffic.awaitUntil(removedMillis + 2 * NEW_WORK_LIMIT_MILLIS);
            traffic.awaitResponses(100, WAIT_LIMIT);

            assertThat(lastStartedMillis(fleet, "zone-a")).isLessThan(removedMillis + NEW_WORK_LIMIT_MILLIS);
            fleet.setZone("zone-a", true);
            Await.until(
                    "the zone starts requests again",
                    WAIT_LIMIT,
                    () -> lastStartedMillis(fleet, "zone-a") > removedMillis + 2 * NEW_WORK_LIMIT_MILLIS);
            assertThat(fleet.witnessSum("cold_overruns")).isZero();
        }
    }

    @Test
    void nothingStartsOnAnUpstreamThreeSecondsAfterItSaysThatItLeaves() {
        try (Fleet fleet = Fleet.start(plan("keepers"));
                Traffic traffic = Traffic.start(fleet)) {
            traffic.awaitResponses(100, WAIT_LIMIT);
            int port = fleet.upstreams().get(0).port();
            long shedBefore = witness(fleet, port).path("shed").asLong();
            long leavingMillis = System.currentTimeMillis();
            fleet.http().post(fleet.upstreamControlUrl() + "/control/leaving?on=true&port=" + port);
            traffic.awaitUntil(leavingMillis + NEW_WORK_LIMIT_MILLIS);
            long shedAtLimit = witness(fleet, port).path("shed").asLong();
            traffic.awaitResponses(100, WAIT_LIMIT);

            assertThat(shedAtLimit).isLessThanOrEqualTo(shedBefore + 4);
            assertThat(witness(fleet, port).path("shed").asLong()).isEqualTo(shedAtLimit);
            assertThat(witness(fleet, port).path("last_started_ms").asLong())
                    .isLessThan(leavingMillis + NEW_WORK_LIMIT_MILLIS);
        }
    }

    @Test
    void frozenNodeStartsNothingAfterResumingOnUpstreamsItNoLongerOwns() {
        try (Fleet fleet = Fleet.start(plan("keepers"));
                Traffic traffic = Traffic.start(fleet)) {
            traffic.awaitResponses(100, WAIT_LIMIT);
            FleetNode frozen = fleet.nodes().get(0);
            frozen.process().freeze();
            fleet.setLeaving(frozen.name(), true);
            long frozenMillis = System.currentTimeMillis();
            traffic.awaitUntil(frozenMillis + 2 * NEW_WORK_LIMIT_MILLIS);
            frozen.process().thaw();
            traffic.awaitUntil(frozenMillis + 3 * NEW_WORK_LIMIT_MILLIS);

            assertThat(fleet.witnessSum("cold_overruns")).isZero();
            Await.until(
                    "the node owns no upstream",
                    WAIT_LIMIT,
                    () -> fleet.http()
                            .getJson(frozen.operatorUrl() + "/v1/state")
                            .path("upstreams")
                            .isEmpty());
        }
    }

    private static FleetPlan plan(String policy) {
        List<String> service =
                List.of("\"default_deadline_ms\": 1000", "\"longest_lease_ms\": 1000", "\"probes_per_second\": 0");
        FleetPlan.ServicePlan ordering = new FleetPlan.ServicePlan("ordering", 8, service);
        return new FleetPlan(
                List.of("zone-a", "zone-b", "zone-c", "zone-d"),
                4,
                List.of(ordering),
                false,
                List.of("--slot-policy", policy, "--view-lag-bound", "2000"));
    }

    private static long lastStartedMillis(Fleet fleet, String zone) {
        JsonNode witness = fleet.witness();
        return fleet.upstreams().stream()
                .filter(upstream -> upstream.zone().equals(zone))
                .mapToLong(upstream -> witness.path(Integer.toString(upstream.port()))
                        .path("last_started_ms")
                        .asLong())
                .max()
                .orElse(0);
    }

    private static JsonNode witness(Fleet fleet, int port) {
        return fleet.witness().path(Integer.toString(port));
    }
}
