package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.feed.ReplicaRelay.Response;
import org.turmericspan.ids.StorePosition;

/** What a node responds with when others read its replica. */
class ReplicaRelayTest {
    private final FeedFixture node = new FeedFixture();
    private final ReplicaRelay relay = new ReplicaRelay(node.feed());

    private static ReplicaRead watch(long afterRevision) {
        return new ReplicaRead(new StorePosition(0, afterRevision), 400, 1, false);
    }

    private static ReplicaRead fromBehind(long afterRevision) {
        return new ReplicaRead(new StorePosition(0, afterRevision), 0, 0, true);
    }

    @Test
    void watchWaitsWhileNothingChanges() {
        node.start(10);
        assertThat(relay.isDue(watch(10))).isFalse();
        assertThat(relay.waitMillis(watch(10))).isEqualTo(400);
        assertThat(relay.response(watch(10))).isEqualTo(Response.CHANGES);
    }

    @Test
    void watchOfAReplicaThatNobodyConfirmsEndsSoonAndUnanswered() {
        node.start(10);
        node.worker().advance(Duration.ofMillis(1_600));
        assertThat(relay.waitMillis(watch(10))).isEqualTo(100);
        assertThat(relay.response(watch(10))).isEqualTo(Response.UNAVAILABLE);
    }

    @Test
    void readerThatIsBehindGetsChangesHoweverOldTheReplicaIs() {
        node.start(10);
        node.reader().complete(FeedFixture.RELAY, FeedFixture.page(12, 0, FeedFixture.evacuation("zone-a", 12)));
        node.worker().advance(Duration.ofSeconds(20));
        assertThat(relay.isDue(fromBehind(11))).isTrue();
        assertThat(relay.response(fromBehind(11))).isEqualTo(Response.CHANGES);
    }

    @Test
    void readerThatIsNotBehindAfterAllGetsNothing() {
        node.start(10);
        assertThat(relay.isDue(fromBehind(10))).isTrue();
        assertThat(relay.response(fromBehind(10))).isEqualTo(Response.UNAVAILABLE);
    }

    @Test
    void readerFromBeforeTheHistoryIsToldToListAgain() {
        node.start(10);
        assertThat(relay.response(watch(9))).isEqualTo(Response.HISTORY_GONE);
        assertThat(relay.response(fromBehind(9))).isEqualTo(Response.HISTORY_GONE);
    }
}
