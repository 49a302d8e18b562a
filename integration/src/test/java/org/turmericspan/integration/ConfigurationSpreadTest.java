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

/**
 * Guards against nodes that miss a configuration or revert to an older one. That comes about when a node cannot reach
 * the platform, when the platform serves a stale document after a restart of the node, when the node was paused during
 * the publication, or when the published document is invalid.
 */
final class ConfigurationSpreadTest {
    private static final Duration ACTIVATION_LIMIT = Duration.ofSeconds(5);
    private static final Duration CHANGE_LIMIT = Duration.ofSeconds(10);
    private static final Duration WAIT_LIMIT = Duration.ofSeconds(20);
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
    void nodesWithoutThePlatformGetTheConfigurationWithinFiveSecondsFromPeersAndNotWithoutThem() {
        List<FleetNode> isolated = fleet.nodes().subList(0, 2);
        List<FleetNode> connected = fleet.nodes().subList(2, NODES);
        isolated.forEach(node -> setLinkFault(node.platformLinkPort(), "refuse=true"));
        fleet.nodes().forEach(node -> setLinkFault(node.peerLinkPort(), "refuse=true"));
        fleet.publish();
        long version = fleet.published().version();
        connected.forEach(node -> awaitVersion(node, version, WAIT_LIMIT));
        assertThat(isolated).allMatch(node -> fleet.versionAt(node) < version);

        fleet.nodes().forEach(node -> setLinkFault(node.peerLinkPort(), "refuse=false"));
        isolated.forEach(node -> awaitVersion(node, version, ACTIVATION_LIMIT));

        fleet.publish();
        fleet.awaitInForce(ACTIVATION_LIMIT);
        isolated.forEach(node -> setLinkFault(node.platformLinkPort(), "refuse=false"));
    }

    @Test
    void restartedNodeDoesNotRevertToTheOlderVersionOfAStalePlatform() {
        FleetNode restarted = fleet.nodes().get(NODES - 1);
        String oldDocument = fleet.published().nextDocument();
        storeDocument(oldDocument);
        fleet.awaitInForce(WAIT_LIMIT);
        fleet.publish();
        fleet.awaitInForce(WAIT_LIMIT);
        long newestVersion = fleet.published().version();
        storeDocument(oldDocument);

        restarted.process().kill();
        restarted.process().start();
        Await.until("the first version is active", WAIT_LIMIT, () -> fleet.versionAt(restarted) > 0);

        assertThat(fleet.versionAt(restarted)).isEqualTo(newestVersion);
    }

    @Test
    void changeAfterThePlatformCameBackFromAnOlderCopyIsInForceOnEveryNode() {
        String copy = fleet.published().nextDocument();
        storeDocument(copy);
        for (int i = 0; i < 5; i++) {
            fleet.publish();
        }
        fleet.awaitInForce(WAIT_LIMIT);

        post("/control/down?on=true");
        fleet.http().put(fleet.platformUrl() + "/control/restored/configuration?revision=1", copy);
        post("/control/down?on=false");
        fleet.publish();

        fleet.awaitInForce(CHANGE_LIMIT);
    }

    @Test
    void frozenNodeActivatesTheConfigurationWithinFiveSecondsOfResuming() {
        FleetNode frozen = fleet.nodes().get(1);
        frozen.process().freeze();
        try {
            fleet.publish();
            long version = fleet.published().version();
            fleet.nodes().stream()
                    .filter(node -> !node.equals(frozen))
                    .forEach(node -> awaitVersion(node, version, WAIT_LIMIT));
        } finally {
            frozen.process().thaw();
        }
        fleet.awaitInForce(ACTIVATION_LIMIT);
    }

    @Test
    void invalidDocumentIsRejectedByEveryNodeAndTheActiveVersionStays() {
        fleet.publish();
        fleet.awaitInForce(WAIT_LIMIT);
        long version = fleet.published().version();
        storeDocument("{\"version\": 1000, \"objects\": [{\"kind\": \"Upstream\", \"name\": \"lost\"}]}");

        fleet.nodes()
                .forEach(node -> Await.until(
                        node.name() + " reports the rejected document",
                        WAIT_LIMIT,
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

    private static void post(String path) {
        fleet.http().post(fleet.platformUrl() + path);
    }

    private static void storeDocument(String document) {
        fleet.http().put(fleet.platformUrl() + "/control/values/configuration", document);
    }

    private static void setLinkFault(int port, String query) {
        fleet.http().post(fleet.proxyControlUrl() + "/control/fault?port=" + port + "&" + query);
        fleet.http().post(fleet.proxyControlUrl() + "/control/cut?port=" + port);
    }
}
