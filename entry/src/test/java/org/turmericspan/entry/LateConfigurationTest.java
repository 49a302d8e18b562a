package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.turmericspan.entry.RelayFleet.Node;

/** A confirmed configuration is in force on time on each node in touch, whatever happened to the store and relays. */
class LateConfigurationTest {
    private static final Duration CONTACT = Duration.ofSeconds(3);
    private static final Duration APPLY = Duration.ofSeconds(2);
    private static final Duration START = Duration.ofSeconds(4);
    private static final int SEEDS = 12;
    private static final int SIZE = 19;
    private static final int ZONES = 4;

    private void forEachSeed(Consumer<Long> scenario) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            scenario.accept(seed);
        }
    }

    private static RelayFleet startedFleet(long seed) {
        RelayFleet fleet = new RelayFleet(SIZE, ZONES, seed);
        fleet.advance(START);
        assertInForce(fleet, 1, "start, seed " + seed);
        return fleet;
    }

    private static void assertInForce(RelayFleet fleet, long version, String description) {
        List<String> late = fleet.nodes().stream()
                .filter(Node::isInTouch)
                .filter(node -> node.version() != version || !node.hasRouteOf(version))
                .map(node -> node + " at version " + node.version())
                .toList();
        assertThat(late).as(description).isEmpty();
    }

    /** Ends the store's failure, confirms a version after a delay, and checks it as soon as the bounds allow. */
    private static void returnAndConfirm(RelayFleet fleet, long version, long delayMillis, String description) {
        fleet.storeServes(node -> true, Link.REFUSING);
        Duration delay = Duration.ofMillis(delayMillis);
        fleet.advance(delay);
        fleet.confirm(version);
        Duration rest = CONTACT.minus(delay);
        fleet.advance(rest.compareTo(APPLY) > 0 ? rest : APPLY);
        assertInForce(fleet, version, description + ", confirmed " + delayMillis + " ms after the return");
    }

    private void changeAfterAnOutage(Link failure) {
        forEachSeed(seed -> {
            SplittableRandom random = new SplittableRandom(seed);
            RelayFleet fleet = startedFleet(seed);
            fleet.storeServes(node -> false, failure);
            fleet.advance(Duration.ofMillis(5_000 + random.nextInt(15_000)));
            returnAndConfirm(fleet, 2, random.nextInt(2_000), failure + ", seed " + seed);
            fleet.storeServes(node -> false, failure);
            fleet.advance(Duration.ofMillis(2_000 + random.nextInt(6_000)));
            returnAndConfirm(fleet, 3, random.nextInt(2_000), "second outage, " + failure + ", seed " + seed);
        });
    }

    @Test
    void changeAfterTheStoreRejectedAllNodesIsInForceInTime() {
        changeAfterAnOutage(Link.REJECTING);
    }

    @Test
    void changeAfterTheStoreRefusedConnectionsIsInForceInTime() {
        changeAfterAnOutage(Link.REFUSING);
    }

    @Test
    void changeAfterTheStoreDidNotRespondIsInForceInTime() {
        changeAfterAnOutage(Link.SILENT);
    }

    @Test
    void changeIsInForceInTimeWhileTheStoreServesOnlyOneZone() {
        for (Link failure : new Link[] {Link.REJECTING, Link.SILENT}) {
            forEachSeed(seed -> {
                RelayFleet fleet = startedFleet(seed);
                fleet.storeServes(node -> node.zone().equals("zone-" + seed % ZONES), failure);
                fleet.advance(CONTACT);
                for (int version = 2; version < 6; version++) {
                    fleet.confirm(version);
                    fleet.advance(APPLY);
                    assertInForce(fleet, version, failure + ", version " + version + ", seed " + seed);
                }
            });
        }
    }

    private void changeAfterARelayFailed(Consumer<Node> failure, String description) {
        forEachSeed(seed -> {
            RelayFleet fleet = startedFleet(seed);
            for (int index = 0; index < 3; index++) {
                failure.accept(fleet.inReaderOrder().get(index));
                fleet.advance(Duration.ofMillis(100 * seed));
                fleet.confirm(2 + index);
                fleet.advance(APPLY);
                assertInForce(fleet, 2 + index, description + " " + index + ", seed " + seed);
            }
        });
    }

    @Test
    void changeIsInForceInTimeWhenARelayDies() {
        changeAfterARelayFailed(node -> node.fail(Link.REFUSING), "death");
    }

    @Test
    void changeIsInForceInTimeWhenARelayIsCutOff() {
        changeAfterARelayFailed(node -> node.fail(Link.SILENT), "cut");
    }

    @Test
    void changeIsInForceInTimeWhenARelayReachesOnlyItsZone() {
        forEachSeed(seed -> {
            for (int index = 0; index < ZONES; index++) {
                RelayFleet fleet = startedFleet(seed);
                fleet.inReaderOrder().get(index).confineToZone();
                fleet.advance(Duration.ofMillis(10 * seed));
                fleet.confirm(2);
                fleet.advance(APPLY);
                assertInForce(fleet, 2, "relay " + index + ", seed " + seed);
            }
        });
    }

    @Test
    void changeIsInForceInTimeWhenARelayLeaves() {
        changeAfterARelayFailed(Node::leave, "SIGTERM");
    }

    @Test
    void changeIsInForceInTimeWhenARelayRestarts() {
        changeAfterARelayFailed(Node::start, "restart");
    }

    @Test
    void versionsOfOneIncarnationNeverDecrease() {
        forEachSeed(seed -> {
            SplittableRandom random = new SplittableRandom(seed);
            RelayFleet fleet = startedFleet(seed);
            for (int version = 2; version < 20; version++) {
                int served = random.nextInt(ZONES + 1);
                fleet.storeServes(node -> !node.zone().equals("zone-" + served), Link.REJECTING);
                fleet.nodes().get(random.nextInt(SIZE)).start();
                fleet.confirm(version);
                fleet.advance(Duration.ofMillis(200 + random.nextInt(600)));
            }
            assertThat(fleet.nodes())
                    .allSatisfy(node -> assertThat(node.versions())
                            .as(node + ", seed " + seed)
                            .isSorted());
        });
    }

    @Test
    void invalidConfigurationIsNotTakenAndTheNextValidOneIs() {
        RelayFleet fleet = startedFleet(1);
        for (String invalid :
                List.of("", "not json", "{}", "{\"Version\":\"2\",\"Routes\":[]}", "{\"Version\":2,\"Routes\":[{}]}")) {
            fleet.putConfiguration(invalid);
            fleet.advance(APPLY);
            assertInForce(fleet, 1, "after '" + invalid + "'");
        }
        fleet.confirm(3);
        fleet.advance(APPLY);
        assertInForce(fleet, 3, "after invalid ones");
    }

    @Test
    void outageFloodsNeitherTheStoreNorTheRelays() {
        int size = 152;
        int zones = 6;
        int seconds = 10;
        for (Link failure : new Link[] {Link.REJECTING, Link.REFUSING, Link.SILENT}) {
            RelayFleet fleet = new RelayFleet(size, zones, 1);
            fleet.advance(START);
            fleet.storeServes(node -> false, failure);
            fleet.advance(CONTACT);
            long storeReads = fleet.storeReads();
            long relayReads = fleet.relayReads();
            fleet.advance(Duration.ofSeconds(seconds));
            // Two nodes of each zone may turn to the store, each twice a second.
            assertThat(fleet.storeReads() - storeReads)
                    .as("reads of the store, " + failure)
                    .isBetween(1L, 2L * 2 * zones * seconds);
            // A relay without contact holds a watch for a tenth of a second.
            assertThat(fleet.relayReads() - relayReads)
                    .as("reads of relays, " + failure)
                    .isBetween(1L, 10L * size * seconds);
        }
    }

    /** Guards against nodes that wait for one reader after the other while only these have lost the store. */
    @Test
    void changeIsInForceInTimeWhenTheFirstTwoReadersLoseTheStore() {
        forEachSeed(seed -> {
            RelayFleet fleet = startedFleet(seed);
            Node first = fleet.inReaderOrder().get(0);
            Node second = fleet.inReaderOrder().stream()
                    .filter(node -> !node.zone().equals(first.zone()))
                    .findFirst()
                    .orElseThrow();
            fleet.advance(Duration.ofMillis(70 * seed));
            fleet.storeServes(node -> node != first && node != second, Link.SILENT);
            fleet.confirm(2);
            fleet.advance(APPLY);
            List<String> late = fleet.nodes().stream()
                    .filter(node -> node != first && node != second && node.version() != 2)
                    .map(Node::toString)
                    .toList();
            assertThat(late).as("seed " + seed).isEmpty();
        });
    }

    /** Guards against a first reader that reads the store only after a delay and then waits for it to time out. */
    @Test
    void changeIsInForceInTimeWhenTheFirstReaderAloneLosesTheStore() {
        for (int phaseMillis = 0; phaseMillis < 600; phaseMillis += 4) {
            RelayFleet fleet = startedFleet(1);
            Node first = fleet.inReaderOrder().get(0);
            fleet.advance(Duration.ofMillis(phaseMillis));
            fleet.storeServes(node -> node != first, Link.SILENT);
            fleet.confirm(2);
            fleet.advance(APPLY);
            List<String> late = fleet.nodes().stream()
                    .filter(node -> node != first && node.version() != 2)
                    .map(Node::toString)
                    .toList();
            assertThat(late).as("phase %s ms", phaseMillis).isEmpty();
        }
    }
}
