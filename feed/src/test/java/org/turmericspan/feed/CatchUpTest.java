package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.gossip.ReplicaState;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;

/** When a node reads from another one that is ahead, and what it believes of the others. */
class CatchUpTest {
    private static final SocketAddress FIRST = new SocketAddress("10.0.0.1", 7_000);
    private static final SocketAddress SECOND = new SocketAddress("10.0.0.2", 7_000);
    private static final SocketAddress THIRD = new SocketAddress("10.0.0.3", 7_000);
    private static final Duration DELAY = Duration.ofMillis(100);

    private final FeedFixture node = new FeedFixture();
    private final CatchUp catchUp = new CatchUp(node.feed(), node.limits(), node.worker());

    private static StoreSource ahead(SocketAddress address) {
        return new StoreSource(address, StoreSource.Kind.NODE_AHEAD);
    }

    @BeforeEach
    void start() {
        node.start(10);
    }

    @Test
    void changeThatTheRelayDoesNotDeliverIsReadFromANodeThatHasIt() {
        catchUp.compare(FIRST, new ReplicaState(new StorePosition(0, 12), new StorePosition(0, 5), 0, 0));
        assertThat(node.reader().pending()).containsExactly(FeedFixture.RELAY);
        node.worker().advance(DELAY);
        assertThat(node.reader().pending()).containsExactly(FeedFixture.RELAY, ahead(FIRST));
        node.reader().complete(ahead(FIRST), FeedFixture.page(13, 40, FeedFixture.evacuation("zone-a", 12)));
        assertThat(node.evacuations()).containsExactly(Set.of(new AvailabilityZoneId("zone-a")));
        assertThat(node.feed().position().revision()).isEqualTo(13);
        assertThat(node.feed().confirmedAgeMillis()).isEqualTo(40);
        assertThat(node.news()).containsExactly(ahead(FIRST));
    }

    @Test
    void changeThatTheRelayDeliversInTimeIsNotReadAgain() {
        catchUp.compare(FIRST, new ReplicaState(new StorePosition(0, 12), new StorePosition(0, 5), 0, 0));
        node.reader().complete(FeedFixture.RELAY, FeedFixture.page(12, 0, FeedFixture.evacuation("zone-a", 12)));
        node.worker().advance(DELAY);
        assertThat(node.reader().count(StoreSource.Kind.NODE_AHEAD)).isZero();
        assertThat(node.news()).isEmpty();
    }

    @Test
    void secondNodeIsReadWhileTheFirstDoesNotRespondAndNoThirdBesideThem() {
        catchUp.compare(FIRST, new ReplicaState(new StorePosition(0, 12), new StorePosition(0, 5), 0, 0));
        catchUp.compare(SECOND, new ReplicaState(new StorePosition(0, 12), new StorePosition(0, 5), 0, 0));
        catchUp.compare(THIRD, new ReplicaState(new StorePosition(0, 12), new StorePosition(0, 5), 0, 0));
        node.worker().advance(DELAY);
        assertThat(node.reader().count(StoreSource.Kind.NODE_AHEAD)).isEqualTo(1);
        node.worker().advance(DELAY);
        assertThat(node.reader().count(StoreSource.Kind.NODE_AHEAD)).isEqualTo(2);
        node.worker().advance(DELAY);
        assertThat(node.reader().count(StoreSource.Kind.NODE_AHEAD)).isEqualTo(2);
    }

    @Test
    void nextNodeIsReadAtOnceWhenARequestFails() {
        catchUp.compare(SECOND, new ReplicaState(new StorePosition(0, 12), new StorePosition(0, 5), 0, 0));
        catchUp.compare(FIRST, new ReplicaState(new StorePosition(0, 12), new StorePosition(0, 5), 0, 0));
        node.worker().advance(DELAY);
        node.reader().complete(ahead(FIRST), new StoreReadResult.Failed("connection refused"));
        assertThat(node.reader().pending()).contains(ahead(SECOND));
    }

    @Test
    void changesOfAWatchThatBeganBeforeAreNotAppliedAgain() {
        catchUp.compare(FIRST, new ReplicaState(new StorePosition(0, 12), new StorePosition(0, 5), 0, 0));
        node.worker().advance(DELAY);
        StoreItem removed = new StoreItem("zone-a", new byte[0], new StorePosition(0, 12), true);
        node.reader().complete(ahead(FIRST), FeedFixture.page(12, 0, FeedFixture.evacuation("zone-a", 11), removed));
        node.reader().complete(FeedFixture.RELAY, FeedFixture.page(11, 0, FeedFixture.evacuation("zone-a", 11)));
        assertThat(node.evacuations()).isEqualTo(List.of(Set.of(new AvailabilityZoneId("zone-a")), Set.of()));
        assertThat(node.feed().position().revision()).isEqualTo(12);
    }

    @Test
    void nodeThatHasNothingMoreConfirmsTheReplica() {
        node.worker().advance(Duration.ofMillis(700));
        catchUp.compare(FIRST, new ReplicaState(new StorePosition(0, 9), new StorePosition(0, 5), 60, 0));
        assertThat(node.feed().confirmedAgeMillis()).isEqualTo(100);
        node.worker().advance(DELAY);
        assertThat(node.reader().count(StoreSource.Kind.NODE_AHEAD)).isZero();
    }

    /** What a list has changed is not part of the revision of the newest change. */
    @Test
    void nodeWhoseListIsNewerThanTheReplicaDoesNotConfirmIt() {
        node.worker().advance(Duration.ofMillis(700));
        catchUp.compare(FIRST, new ReplicaState(new StorePosition(0, 9), new StorePosition(0, 11), 60, 0));
        assertThat(node.feed().confirmedAgeMillis()).isEqualTo(700);
    }

    @Test
    void relayThatIsBehindDoesNotConfirmTheReplica() {
        node.worker().advance(Duration.ofMillis(700));
        node.reader().complete(FeedFixture.RELAY, FeedFixture.page(8, 0));
        assertThat(node.feed().confirmedAgeMillis()).isEqualTo(700);
    }

    @Test
    void nodeWithoutItsFirstListReadsFromNoOther() {
        FeedFixture starting = new FeedFixture();
        starting.feed().start();
        new CatchUp(starting.feed(), starting.limits(), starting.worker())
                .compare(FIRST, new ReplicaState(new StorePosition(0, 12), new StorePosition(0, 5), 0, 0));
        starting.worker().advance(DELAY);
        assertThat(starting.reader().count(StoreSource.Kind.NODE_AHEAD)).isZero();
    }
}
