package org.turmericspan.integration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.turmericspan.standins.fleet.Await;
import org.turmericspan.standins.fleet.Fleet;
import org.turmericspan.standins.fleet.FleetNode;
import org.turmericspan.standins.fleet.FleetPlan;

/** Configurations reach every node and never go back, whatever the platform does. */
final class ConfigurationSpreadTest {
    private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(5);
    private static final Duration GENEROUS = Duration.ofSeconds(20);
    private static final int NODES = 5;

    private static Fleet fleet;

    @BeforeAll
    static void startFleet() {
        fleet = Fleet.start(FleetPlan.simple(NODES, 4).proxied());
    }

    @AfterAll
    static void stopFleet() {
        fleet.close();
    }

    @Test
    void nodesCutFromThePlatformFollowWithinFiveSecondsThroughTheirPeersAndNotWithoutThem() {
        List<FleetNode> cut = fleet.nodes().subList(0, 2);
        List<FleetNode> reached = fleet.nodes().subList(2, NODES);
        cut.forEach(node -> fault(node.platformLinkPort(), "refuse=true"));
        fleet.nodes().forEach(node -> fault(node.peerLinkPort(), "refuse=true"));
        fleet.publish();
        long version = fleet.published().version();
        reached.forEach(node -> awaitVersion(node, version, GENEROUS));
        assertThat(cut).allMatch(node -> fleet.versionAt(node) < version);

        fleet.nodes().forEach(node -> fault(node.peerLinkPort(), "refuse=false"));
        cut.forEach(node -> awaitVersion(node, version, IN_FORCE_LIMIT));

        fleet.publish();
        fleet.awaitInForce(IN_FORCE_LIMIT);
        cut.forEach(node -> fault(node.platformLinkPort(), "refuse=false"));
    }

    @Test
    void freshProcessDoesNotGoBackToAStalePlatform() {
        FleetNode fresh = fleet.nodes().get(NODES - 1);
        String old = fleet.published().nextDocument();
        put(old);
        fleet.awaitInForce(GENEROUS);
        fleet.publish();
        fleet.awaitInForce(GENEROUS);
        long newest = fleet.published().version();
        put(old);

        fresh.process().kill();
        fresh.process().start();
        Await.until("the first version in force", GENEROUS, () -> fleet.versionAt(fresh) > 0);

        assertThat(fleet.versionAt(fresh)).isEqualTo(newest);
    }

    @Test
    void frozenNodeFollowsWithinFiveSecondsOfItsWakeUp() {
        FleetNode frozen = fleet.nodes().get(1);
        frozen.process().freeze();
        try {
            fleet.publish();
            long version = fleet.published().version();
            fleet.nodes().stream()
                    .filter(node -> !node.equals(frozen))
                    .forEach(node -> awaitVersion(node, version, GENEROUS));
        } finally {
            frozen.process().thaw();
        }
        fleet.awaitInForce(IN_FORCE_LIMIT);
    }

    @Test
    void brokenDocumentIsRefusedEverywhereAndTheOldStays() {
        fleet.publish();
        fleet.awaitInForce(GENEROUS);
        long version = fleet.published().version();
        put("{\"version\": 1000, \"objects\": [{\"kind\": \"Upstream\", \"name\": \"lost\"}]}");

        fleet.nodes()
                .forEach(node -> Await.until(
                        node.name() + " reports the refusal",
                        GENEROUS,
                        () -> fleet.http()
                                        .getJson(node.operatorUrl() + "/v1/state")
                                        .path("refused_configurations")
                                        .size()
                                > 0));
        assertThat(fleet.nodes()).allMatch(node -> fleet.versionAt(node) == version);
    }

    private static void awaitVersion(FleetNode node, long version, Duration limit) {
        Await.until(node.name() + " has version " + version, limit, () -> fleet.versionAt(node) >= version);
    }

    private static void put(String document) {
        fleet.http().put(fleet.platformUrl() + "/control/values/configuration", document);
    }

    private static void fault(int port, String query) {
        fleet.http().post(fleet.proxyControlUrl() + "/control/fault?port=" + port + "&" + query);
        fleet.http().post(fleet.proxyControlUrl() + "/control/cut?port=" + port);
    }
}
