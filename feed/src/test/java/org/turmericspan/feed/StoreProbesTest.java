package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.turmericspan.events.EventLog;

/** When a node whose replica nobody confirms asks the store by itself. */
class StoreProbesTest {
    private static FeedFixture start(FleetPosition position) {
        FeedFixture node = new FeedFixture();
        node.start(10);
        node.feed().confirm(0);
        new StoreProbes(
                        node.feed(),
                        FeedFixture.STORE,
                        () -> position,
                        node.limits(),
                        node.worker(),
                        node.clock(),
                        new SplittableRandom(position.rank()),
                        EventLog.none())
                .start();
        return node;
    }

    private static long probes(FeedFixture node) {
        return node.reader().count(StoreSource.Kind.STORE);
    }

    /** Advances the nodes until a time after their last confirmation; returns how many have asked the store. */
    private static long probedAfter(List<FeedFixture> nodes, long millis) {
        nodes.forEach(node ->
                node.worker().advance(Duration.ofMillis(millis - node.feed().confirmedAgeMillis())));
        return nodes.stream().filter(node -> probes(node) > 0).count();
    }

    @Test
    void nodesAskInGroupsThatDoubleUntilTheShareForThemIsUsed() {
        List<FeedFixture> nodes = new ArrayList<>();
        for (int rank = 0; rank < 152; rank++) {
            nodes.add(start(new FleetPosition(rank, 152)));
        }
        assertThat(probedAfter(nodes, 1_099)).isZero();
        assertThat(probedAfter(nodes, 1_102)).isEqualTo(1);
        assertThat(probedAfter(nodes, 1_162)).isEqualTo(2);
        assertThat(probedAfter(nodes, 1_222)).isEqualTo(4);
        assertThat(probedAfter(nodes, 1_342)).isEqualTo(16);
    }

    @Test
    void replicaThatIsConfirmedInTimeIsNotProbed() {
        FeedFixture node = start(new FleetPosition(0, 152));
        for (int i = 0; i < 10; i++) {
            node.worker().advance(Duration.ofMillis(1_000));
            node.feed().confirm(0);
        }
        assertThat(probes(node)).isZero();
    }

    @Test
    void changeThatAProbeReadsIsAppliedAndAnnouncedThoughTheRelayIsSilent() {
        FeedFixture node = start(new FleetPosition(0, 152));
        node.worker().advance(Duration.ofMillis(1_101));
        node.reader().complete(FeedFixture.STORE, FeedFixture.storePage(12, FeedFixture.evacuation("zone-a", 12)));
        assertThat(node.evacuations()).hasSize(1);
        assertThat(node.feed().confirmedAgeMillis()).as("since the read began").isEqualTo(1);
        assertThat(node.feed().hasStoreContact()).isTrue();
        assertThat(node.news()).containsExactly(FeedFixture.STORE);
    }

    /** Other nodes are about to ask the store as well. */
    @Test
    void probeWithoutChangesIsAnnouncedToo() {
        FeedFixture node = start(new FleetPosition(0, 152));
        node.worker().advance(Duration.ofMillis(1_101));
        node.reader().complete(FeedFixture.STORE, FeedFixture.storePage(10));
        assertThat(node.news()).containsExactly(FeedFixture.STORE);
    }

    @Test
    void nodeThatReachedTheStoreLatelyAsksInTheFirstGroup() {
        FeedFixture node = start(new FleetPosition(16, 152));
        node.worker().advance(Duration.ofMillis(1_402));
        node.reader().complete(FeedFixture.STORE, FeedFixture.storePage(10));
        node.worker().advance(Duration.ofMillis(1_097));
        assertThat(probes(node)).isZero();
        node.worker().advance(Duration.ofMillis(3));
        assertThat(probes(node)).isEqualTo(1);
    }

    /** An outage draws a bounded number of reads, of a small fleet and of a large one. */
    @Test
    void fleetAsksAStoreThatIsAwayTenTimesASecondAtMost() {
        int seconds = 10;
        for (int size : new int[] {19, 152}) {
            List<FeedFixture> nodes = new ArrayList<>();
            for (int rank = 0; rank < size; rank++) {
                nodes.add(start(new FleetPosition(rank, size)));
            }
            nodes.forEach(node -> node.worker().advance(Duration.ofSeconds(2)));
            long before = nodes.stream().mapToLong(StoreProbesTest::probes).sum();
            nodes.forEach(node -> node.worker().advance(Duration.ofSeconds(seconds)));
            long after = nodes.stream().mapToLong(StoreProbesTest::probes).sum();
            assertThat(after - before).as(size + " nodes").isBetween(2L * seconds, 10L * seconds);
        }
    }
}
