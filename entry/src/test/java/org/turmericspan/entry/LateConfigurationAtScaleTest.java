package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.turmericspan.entry.RelayFleet.Node;

/** A confirmed configuration is in force on time in fleets of hundreds of nodes whose members are not all known. */
class LateConfigurationAtScaleTest {
    private static final List<FleetShape> SHAPES = List.of(
            new FleetShape(19, 4, Duration.ofMillis(2_000), Duration.ofSeconds(3)),
            new FleetShape(99, 4, Duration.ofMillis(2_500), Duration.ofSeconds(3)),
            new FleetShape(137, 5, Duration.ofMillis(2_500), Duration.ofSeconds(3)),
            new FleetShape(152, 6, Duration.ofMillis(3_000), Duration.ofSeconds(4)));
    private static final Duration START = Duration.ofSeconds(6);
    /** Time after which each node has read from its source. */
    private static final Duration LEAD = Duration.ofSeconds(15);
    /** Number of seeds for each large fleet, more when a run by hand asks for them. */
    private static final int SEEDS = Integer.getInteger("late.seeds", 1);
    /** Number of seeds for a small fleet, as a multiple of the others. */
    private static final int SMALL_FLEET_SEEDS = 4;

    private static final int SMALL_FLEET = 30;
    /** A link of 10 Mbit/s. */
    private static final long LINK_BYTES_PER_SECOND = 1_250_000;

    /** What happens to a started fleet; confirms versions and returns the newest. */
    private interface Scenario {
        long play(RelayFleet fleet, FleetShape shape, Random random);
    }

    private static void forEachFleet(Scenario scenario) {
        List<String> late = new ArrayList<>();
        for (FleetShape shape : SHAPES) {
            int seeds = shape.size() < SMALL_FLEET ? SMALL_FLEET_SEEDS * SEEDS : SEEDS;
            LongStream.rangeClosed(1, seeds).forEach(seed -> {
                RelayFleet fleet = new RelayFleet(shape, seed);
                fleet.advance(START);
                long version = scenario.play(fleet, shape, new Random(seed));
                List<String> lateNodes = fleet.nodes().stream()
                        .filter(node -> node.isInTouchFor(shape.contact()))
                        .filter(node -> node.version() != version || !node.hasRouteOf(version))
                        .map(node -> node + " at version " + node.version())
                        .toList();
                if (!lateNodes.isEmpty()) {
                    late.add(shape.size() + " nodes, seed " + seed + ": " + lateNodes.size() + " late, " + lateNodes);
                }
            });
        }
        assertThat(late).isEmpty();
    }

    private static List<Node> shuffled(List<Node> nodes, Random random) {
        List<Node> shuffled = new ArrayList<>(nodes);
        Collections.shuffle(shuffled, random);
        return shuffled;
    }

    private static List<Node> share(RelayFleet fleet, double share, Random random) {
        return shuffled(fleet.nodes(), random)
                .subList(0, (int) Math.round(share * fleet.nodes().size()));
    }

    private static Duration between(long minMillis, long maxMillis, Random random) {
        return Duration.ofMillis(minMillis + random.nextInt((int) (maxMillis - minMillis + 1)));
    }

    /** Confirms a version some time after the store has returned, and advances until it has to be in force. */
    private static void confirmAfterReturn(RelayFleet fleet, FleetShape shape, long version, Duration delay) {
        fleet.advance(delay);
        fleet.confirm(version);
        Duration rest = shape.contact().minus(delay);
        fleet.advance(rest.compareTo(shape.apply()) > 0 ? rest : shape.apply());
    }

    /** The users' record of issue 37: the store is silent, most nodes are killed, then changes come at its return. */
    @Test
    void changeIsInForceInTimeWhenMostNodesWereKilledWhileTheStoreWasSilent() {
        forEachFleet((fleet, shape, random) -> {
            fleet.storeServes(node -> false, Link.SILENT);
            fleet.advance(Duration.ofMillis(3_600));
            share(fleet, 0.58, random).forEach(node -> {
                node.fail(Link.REFUSING);
                node.startAfter(between(800, 1_800, random));
            });
            fleet.advance(Duration.ofMillis(4_900));
            fleet.storeServes(node -> true, Link.SILENT);
            confirmAfterReturn(fleet, shape, 2, between(0, 400, random));
            return 2;
        });
    }

    @Test
    void changeIsInForceInTimeWhenTheFirstTwoReadersFallSilentAsTheStoreReturns() {
        forEachFleet((fleet, shape, random) -> {
            fleet.storeServes(node -> false, Link.SILENT);
            fleet.advance(between(4_000, 9_000, random));
            fleet.inReaderOrder().stream().limit(2).forEach(node -> node.fail(Link.SILENT));
            fleet.storeServes(node -> true, Link.SILENT);
            confirmAfterReturn(fleet, shape, 2, between(0, 1_000, random));
            return 2;
        });
    }

    @Test
    void changeIsInForceInTimeWhenTheStoreStaysSilentToAThirdOfTheNodes() {
        forEachFleet((fleet, shape, random) -> {
            List<Node> cut = share(fleet, 0.35, random);
            fleet.storeServes(node -> !cut.contains(node), Link.SILENT);
            fleet.advance(between(100, 9_000, random));
            fleet.confirm(2);
            fleet.advance(shape.apply());
            return 2;
        });
    }

    @Test
    void changeIsInForceInTimeWhenAZoneLosesPower() {
        forEachFleet((fleet, shape, random) -> {
            String zone = fleet.inReaderOrder().get(0).zone();
            fleet.nodes().stream().filter(node -> node.zone().equals(zone)).forEach(Node::losePower);
            fleet.advance(between(0, 3_000, random));
            fleet.confirm(2);
            fleet.advance(shape.apply());
            return 2;
        });
    }

    @Test
    void changeIsInForceInTimeWhenAThirdOfTheNodesIsCutOff() {
        forEachFleet((fleet, shape, random) -> {
            share(fleet, 0.35, random).forEach(node -> node.fail(Link.SILENT));
            fleet.advance(between(0, 3_000, random));
            fleet.confirm(2);
            fleet.advance(shape.apply());
            return 2;
        });
    }

    @Test
    void changeIsInForceInTimeWhenAThirdOfTheNodesReturnsFromACut() {
        forEachFleet((fleet, shape, random) -> {
            List<Node> cut = share(fleet, 0.35, random);
            cut.forEach(node -> node.fail(Link.SILENT));
            fleet.advance(Duration.ofSeconds(12));
            cut.forEach(Node::reconnect);
            confirmAfterReturn(fleet, shape, 2, between(0, 1_000, random));
            return 2;
        });
    }

    @Test
    void changeIsInForceInTimeWhenMostNodesAreKilledAtOnce() {
        forEachFleet((fleet, shape, random) -> {
            share(fleet, 0.6, random).forEach(node -> {
                node.losePower();
                node.startAfter(between(2_500, 3_500, random));
            });
            fleet.advance(between(0, 2_000, random));
            fleet.confirm(2);
            fleet.advance(shape.apply());
            return 2;
        });
    }

    @Test
    void changeIsInForceInTimeWhileNodesAreStoppedAndStartedInTurn() {
        forEachFleet((fleet, shape, random) -> {
            long version = 1;
            for (Node node : share(fleet, 0.35, random)) {
                node.leave();
                fleet.advance(Duration.ofMillis(300));
                node.fail(Link.REFUSING);
                node.startAfter(between(400, 900, random));
                if (random.nextInt(8) == 0) {
                    version++;
                    fleet.confirm(version);
                }
            }
            version++;
            fleet.confirm(version);
            fleet.advance(shape.apply());
            return version;
        });
    }

    /** A full list of each node takes longer than the limit where relays have narrow links. */
    @Test
    void compactionOfTheStoreMakesOnlyItsReadersListAgain() {
        for (FleetShape shape : SHAPES) {
            RelayFleet fleet = new RelayFleet(shape, 1);
            fleet.advance(LEAD);
            long lists = fleet.lists();
            fleet.store().compact();
            fleet.confirm(2);
            fleet.advance(shape.apply());
            assertThat(fleet.nodes()).as(shape.toString()).allMatch(node -> node.version() == 2);
            assertThat(fleet.lists() - lists).as(shape.toString()).isBetween(1L, 3L);
        }
    }

    /** Guards against relays whose links are busy with copies of one page for longer than the limit. */
    @Test
    void changeOfManyRoutesIsInForceInTimeOverNarrowLinks() {
        forEachFleet((fleet, shape, random) -> {
            fleet.advance(LEAD);
            fleet.limitLinks(LINK_BYTES_PER_SECOND);
            fleet.confirmLarge(2, shape.size() < SMALL_FLEET ? 350 : 1_400);
            fleet.advance(shape.apply());
            return 2;
        });
    }

    @Test
    void changeIsInForceInTimeOnBusyNodesWhenTheFirstReaderFallsSilent() {
        forEachFleet((fleet, shape, random) -> {
            List<Node> busy = share(fleet, 0.15, random);
            fleet.slowDown(busy::contains, Duration.ofMillis(200));
            fleet.advance(Duration.ofSeconds(1));
            fleet.inReaderOrder().get(0).fail(Link.SILENT);
            fleet.advance(between(0, 1_500, random));
            fleet.confirm(2);
            fleet.advance(shape.apply());
            return 2;
        });
    }
}
