package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.events.EventLog;
import org.turmericspan.gossip.ReplicaState;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;
import org.turmericspan.ids.UpstreamId;

/** A replica counts as confirmed only by what the store has said of it, and never as newer than that. */
class FalseConfirmationTest {
    private static final SocketAddress OTHER = new SocketAddress("10.0.0.1", 7_000);

    private static void compare(FeedFixture receiver, long changeRevision, long listRevision, long ageMillis) {
        new CatchUp(receiver.feed(), receiver.limits(), receiver.worker())
                .compare(
                        OTHER,
                        new ReplicaState(
                                new StorePosition(0, changeRevision),
                                new StorePosition(0, listRevision),
                                ageMillis,
                                0));
    }

    private static FeedFixture confirmedNode() {
        FeedFixture node = new FeedFixture();
        node.start(10);
        node.feed().confirm(0);
        return node;
    }

    /** Starts a node that has listed the store, which may have responded with a state seconds old. */
    private static StoreFeed startedWithAStaleList(FeedFixture node, long revision) {
        StoreFeed feed = new StoreFeed(
                new StoreOnly(),
                node.reader(),
                (item, nowNanos) -> new StoreUpdate.Ignored(),
                new NoListener(),
                node.limits(),
                node.worker(),
                node.clock(),
                new SplittableRandom(1),
                EventLog.none());
        feed.start();
        node.reader().complete(FeedFixture.STORE, FeedFixture.storePage(revision));
        return feed;
    }

    /** Nothing has confirmed the list yet, and the time since the start is no confirmation. */
    @Test
    void restartedNodeWithAStaleListDoesNotConfirmOthers() {
        FeedFixture survivor = confirmedNode();
        survivor.worker().advance(Duration.ofMillis(1_000));
        FeedFixture machine = new FeedFixture();
        StoreFeed restarted = startedWithAStaleList(machine, 8);
        machine.worker().advance(Duration.ofMillis(100));
        compare(
                survivor,
                restarted.changePosition().revision(),
                restarted.listPosition().revision(),
                restarted.ownConfirmedAgeMillis());
        assertThat(survivor.feed().confirmedAgeMillis()).isGreaterThanOrEqualTo(1_000);
    }

    @Test
    void readerOfANodeWithAStaleListIsNotConfirmed() {
        FeedFixture survivor = confirmedNode();
        survivor.worker().advance(Duration.ofMillis(1_000));
        StoreFeed restarted = startedWithAStaleList(new FeedFixture(), 10);
        ReplicaRead read =
                new ReplicaRead(new StorePosition(0, 10), 400, StoreSource.Kind.ZONE_READER.maxDistance(), false);
        if (new ReplicaRelay(restarted).response(read) == ReplicaRelay.Response.CHANGES) {
            StorePage page = restarted.mirror().changesAfter(new StorePosition(0, 10), restarted.status());
            survivor.reader().complete(FeedFixture.RELAY, new StoreReadResult.Page(page));
        }
        assertThat(survivor.feed().confirmedAgeMillis()).isGreaterThanOrEqualTo(1_000);
    }

    /** What the stale list lacks are changes of the restored store, which the other nodes have. */
    @Test
    void nodeWhoseFirstListMayBeOfALostHistoryIsNotConfirmedByOthers() {
        FleetFixture starting = new FleetFixture();
        starting.feed().start();
        starting.complete(FleetFixture.at(1, 100));
        starting.choose(FeedFixture.RELAY);
        starting.advance(Duration.ofMillis(400));
        starting.complete(FleetFixture.at(1, 82));
        starting.advance(Duration.ofMillis(600));
        new CatchUp(starting.feed(), starting.limits(), starting.worker())
                .compare(OTHER, new ReplicaState(FleetFixture.at(1, 81), FleetFixture.at(1, 70), 0, 0));
        starting.advance(Duration.ofMillis(1));
        assertThat(starting.feed().confirmedAgeMillis()).isGreaterThanOrEqualTo(1_000);
    }

    /** The response waited in the socket of a process that did not run. */
    @Test
    void responseReadAfterASuspensionDoesNotConfirmTheTimeOfItsReading() {
        FeedFixture node = confirmedNode();
        node.clock().advance(Duration.ofSeconds(5));
        node.reader().complete(FeedFixture.RELAY, FeedFixture.page(10, 0));
        assertThat(node.feed().confirmedAgeMillis()).isGreaterThanOrEqualTo(4_000);
    }

    /**
     * Nodes tell each other over a network with delays, and the store confirms nothing meanwhile. All hops together may
     * cost one step of the groups that ask the store.
     */
    @Test
    void confirmationDoesNotGetYoungerAsItPassesFromNodeToNode() {
        List<String> young = new ArrayList<>();
        for (long latencyMillis : new long[] {2, 20, 80}) {
            int size = 40;
            List<FeedFixture> nodes = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                nodes.add(confirmedNode());
            }
            SplittableRandom random = new SplittableRandom(1);
            List<long[]> underWay = new ArrayList<>();
            for (int millis = 0; millis < 2_000; millis++) {
                nodes.forEach(node -> node.clock().advance(Duration.ofMillis(1)));
                for (int i = 0; i < size; i++) {
                    if (millis % 400 == i * 10) {
                        for (int message = 0; message < 5; message++) {
                            underWay.add(new long[] {
                                millis + latencyMillis,
                                random.nextInt(size),
                                nodes.get(i).feed().ownConfirmedAgeMillis()
                            });
                        }
                    }
                }
                for (long[] message : List.copyOf(underWay)) {
                    if (message[0] == millis) {
                        compare(nodes.get((int) message[1]), 0, 10, message[2]);
                        underWay.remove(message);
                    }
                }
            }
            long youngest = nodes.stream()
                    .mapToLong(node -> node.feed().confirmedAgeMillis())
                    .min()
                    .orElseThrow();
            if (youngest < 2_000 - nodes.get(0).limits().probeStepMillis()) {
                young.add("latency " + latencyMillis + " ms: age " + youngest + " ms after 2000 ms");
            }
        }
        assertThat(young).isEmpty();
    }

    private static final class StoreOnly implements StoreSourceSelector {
        @Override
        public StoreSource select() {
            return FeedFixture.STORE;
        }

        @Override
        public boolean reportFailure(StoreSource source, SourceFailure failure) {
            return false;
        }
    }

    private static final class NoListener implements FleetListener {
        @Override
        public void onConfiguration(RoutingConfiguration configuration) {}

        @Override
        public void onRegistration(Registration registration) {}

        @Override
        public void onRemoval(UpstreamId id) {}

        @Override
        public void onEvacuation(Set<AvailabilityZoneId> zones) {}
    }
}
