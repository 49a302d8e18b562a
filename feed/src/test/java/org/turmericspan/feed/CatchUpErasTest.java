package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.turmericspan.feed.FleetFixture.at;
import static org.turmericspan.feed.FleetFixture.configuration;
import static org.turmericspan.feed.FleetFixture.evacuation;
import static org.turmericspan.feed.FleetFixture.page;
import static org.turmericspan.feed.FleetFixture.ready;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.gossip.ReplicaState;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;

/** What nodes of different eras believe of each other. */
class CatchUpErasTest {
    private static final SocketAddress OTHER = new SocketAddress("10.0.0.1", 7_000);
    private static final StoreSource AHEAD = new StoreSource(OTHER, StoreSource.Kind.NODE_AHEAD);
    private static final Duration DELAY = Duration.ofMillis(101);
    private static final Duration AGE = Duration.ofMillis(700);

    private final FleetFixture node = new FleetFixture();
    private final CatchUp catchUp = new CatchUp(node.feed(), node.limits(), node.worker());

    @BeforeEach
    void start() {
        node.start(at(0, 100), ready("a", at(0, 10)), configuration(78, at(0, 90)));
    }

    private void hear(StorePosition change, StorePosition list, long version) {
        catchUp.compare(OTHER, new ReplicaState(change, list, 0, version));
    }

    private void hear(StorePosition change, StorePosition list) {
        hear(change, list, 78);
    }

    private long readsOfOther() {
        return node.reader().count(StoreSource.Kind.NODE_AHEAD);
    }

    @Test
    void nodeOfALaterEraIsAheadThoughItsRevisionIsLower() {
        hear(at(1, 60), at(0, 50));
        node.advance(DELAY);
        node.reader().complete(AHEAD, page(FeedFixture.RELAY, at(1, 65), evacuation("z", at(1, 60))));
        assertThat(node.feed().position()).isEqualTo(at(1, 65));
        assertThat(node.evacuatedZones()).containsExactly("z");
    }

    /** All that such a node has came with its first list. */
    @Test
    void nodeThatStartedInALaterEraIsAhead() {
        hear(StorePosition.START, at(1, 60));
        node.advance(DELAY);
        assertThat(readsOfOther()).isEqualTo(1);
        node.reader().complete(AHEAD, new StoreReadResult.RevisionCompacted());
        node.reader().complete(AHEAD, page(FeedFixture.RELAY, at(1, 65), ready("a", at(1, 10)), ready("b", at(1, 55))));
        assertThat(node.feed().position()).isEqualTo(at(1, 65));
        assertThat(node.upstreams()).containsOnlyKeys("a", "b");
    }

    @Test
    void nodeThatStartedInTheSameEraIsNotAheadByItsListAlone() {
        hear(StorePosition.START, at(0, 160));
        node.advance(DELAY);
        assertThat(readsOfOther()).isZero();
    }

    @Test
    void nodeOfAnEarlierEraIsNeitherAheadNorConfirms() {
        node.restore(at(1, 60), ready("a", at(1, 10)), configuration(78, at(1, 50)));
        node.advance(AGE);
        long ageMillis = node.feed().confirmedAgeMillis();
        hear(at(0, 500), at(0, 20));
        hear(at(0, 40), at(0, 20));
        assertThat(node.feed().confirmedAgeMillis()).isEqualTo(ageMillis);
        node.advance(DELAY);
        assertThat(readsOfOther()).isZero();
        assertThat(node.feed().position()).isEqualTo(at(1, 60));
    }

    @Test
    void nodeOfTheSameEraThatHasNothingMoreConfirms() {
        node.restore(at(1, 60), ready("a", at(1, 10)), configuration(78, at(1, 50)));
        node.advance(AGE);
        hear(at(1, 60), at(0, 20));
        assertThat(node.feed().confirmedAgeMillis()).isEqualTo(node.limits().changeLimitMillis() * 2 / 100);
    }

    @Test
    void nodeOfALaterEraDoesNotConfirm() {
        node.advance(AGE);
        long ageMillis = node.feed().confirmedAgeMillis();
        hear(at(1, 60), at(0, 20));
        hear(StorePosition.START, at(1, 60));
        assertThat(node.feed().confirmedAgeMillis()).isEqualTo(ageMillis);
    }

    @Test
    void stateThatANodeTellsIsOfItsEra() {
        assertThat(node.feed().replicaState().era()).isZero();
        assertThat(node.feed().replicaState().configurationVersion()).isEqualTo(78);
        node.restore(at(1, 60), ready("a", at(1, 10)), configuration(77, at(1, 50)));
        ReplicaState state = node.feed().replicaState();
        assertThat(state.era()).isEqualTo(1);
        assertThat(state.changePosition()).isEqualTo(at(1, 60));
        assertThat(state.configurationVersion()).isEqualTo(78);
    }

    /** The node listed a copy with an older configuration; others still have the newer one in force. */
    @Test
    void newerConfigurationIsListedFromTheNodeThatHasIt() {
        FleetFixture starting = new FleetFixture();
        starting.start(at(1, 60), ready("a", at(1, 10)), configuration(77, at(1, 50)));
        CatchUp startingCatchUp = new CatchUp(starting.feed(), starting.limits(), starting.worker());
        startingCatchUp.compare(OTHER, new ReplicaState(at(1, 60), at(0, 20), 0, 78));
        starting.advance(DELAY);
        starting.reader()
                .complete(
                        AHEAD, page(FeedFixture.RELAY, at(1, 61), ready("a", at(1, 10)), configuration(78, at(0, 90))));
        assertThat(starting.versions()).containsExactly(77L, 78L);
    }

    @Test
    void lowerOrEqualVersionCausesNoRead() {
        hear(at(0, 100), at(0, 20), 78);
        hear(at(0, 100), at(0, 20), 77);
        hear(at(0, 100), at(0, 20), 0);
        node.advance(DELAY);
        assertThat(readsOfOther()).isZero();
    }

    /** Each node of a fleet may tell it with every message, while the reads fail. */
    @Test
    void newerVersionThatCannotBeListedCausesFewReads() {
        int reads = 0;
        for (int i = 0; i < 1_000; i++) {
            hear(at(0, 100), at(0, 20), 79);
            if (readsOfOther() > 0) {
                reads++;
                node.reader().complete(AHEAD, new StoreReadResult.HttpError(503));
            }
            node.advance(Duration.ofMillis(10));
        }
        assertThat(reads).as("reads in 10 s").isBetween(1, 13);
    }
}
