package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.turmericspan.events.EventLog;
import org.turmericspan.gossip.ReplicaState;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;

/** A node whose relay is silent gets a change within the limit, though the history that it needs is gone. */
class CompactionBesideTest {
    private static final SocketAddress OTHER = new SocketAddress("10.0.0.1", 7_000);
    private static final StoreSource AHEAD = new StoreSource(OTHER, StoreSource.Kind.NODE_AHEAD);

    @Test
    void nodeListsAgainWhenTheStoreItselfHasCompactedTheHistory() {
        FeedFixture node = new FeedFixture();
        node.start(10);
        node.feed().confirm(0);
        new StoreProbes(
                        node.feed(),
                        FeedFixture.STORE,
                        () -> new FleetPosition(0, 152),
                        node.limits(),
                        node.worker(),
                        node.clock(),
                        new SplittableRandom(1),
                        EventLog.none())
                .start();
        node.worker().advance(Duration.ofMillis(1_101));
        node.reader().complete(FeedFixture.STORE, new StoreReadResult.RevisionCompacted());
        node.worker().advance(Duration.ofMillis(300));
        assertThat(node.reader().pending().size())
                .as("reads beside the silent one")
                .isGreaterThan(1);
    }

    /** Each node that has restarted since has no history before its first list. */
    @Test
    void nodeListsAgainWhenTheNodesAheadHaveRestarted() {
        FeedFixture node = new FeedFixture();
        node.start(10);
        node.feed().confirm(0);
        new CatchUp(node.feed(), node.limits(), node.worker())
                .compare(OTHER, new ReplicaState(new StorePosition(0, 14), new StorePosition(0, 13), 0, 0));
        node.worker().advance(Duration.ofMillis(101));
        node.reader().complete(AHEAD, new StoreReadResult.RevisionCompacted());
        node.worker().advance(Duration.ofMillis(300));
        assertThat(node.reader().pending().size())
                .as("reads beside the silent one")
                .isGreaterThan(1);
    }
}
