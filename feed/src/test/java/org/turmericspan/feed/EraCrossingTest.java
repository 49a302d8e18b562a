package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.turmericspan.feed.FleetFixture.at;
import static org.turmericspan.feed.FleetFixture.evacuation;
import static org.turmericspan.feed.FleetFixture.page;
import static org.turmericspan.feed.FleetFixture.ready;
import static org.turmericspan.feed.FleetFixture.truncatedPage;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.gossip.ReplicaState;
import org.turmericspan.ids.SocketAddress;

/** How a node's reads cross from one era of the store to the next. */
class EraCrossingTest {
    private static final StoreSource AHEAD =
            new StoreSource(new SocketAddress("10.0.0.1", 7_000), StoreSource.Kind.NODE_AHEAD);
    private static final Duration LIST_PAUSE = Duration.ofSeconds(1);

    private final FleetFixture node = new FleetFixture();

    @BeforeEach
    void start() {
        node.start(at(0, 100), ready("a", at(0, 10)));
    }

    /** The changes after a revision of the older era are not all that differs. */
    @Test
    void pageOfTheStoreOfALaterEraIsNotAppliedAsChanges() {
        node.complete(at(1, 110), ready("b", at(1, 110)));
        assertThat(node.feed().position()).isEqualTo(at(0, 100));
        assertThat(node.upstreams()).containsOnlyKeys("a");
        node.complete(at(1, 110), ready("a", at(1, 10)), ready("b", at(1, 110)), ready("c", at(1, 90)));
        assertThat(node.feed().position()).isEqualTo(at(1, 110));
        assertThat(node.upstreams()).containsOnlyKeys("a", "b", "c");
    }

    @Test
    void listThatFollowsIsCurrent() {
        node.complete(at(1, 110));
        assertThat(node.reader().lastFreshness()).isEqualTo(StoreReader.Freshness.CURRENT);
    }

    @Test
    void nextWatchContinuesThePositionInTheLaterEra() {
        node.restore(at(1, 80), ready("a", at(1, 10)));
        assertThat(node.reader().lastAfter()).isEqualTo(at(1, 80));
    }

    @Test
    void changeAtARevisionThatIsGivenOutAgainIsApplied() {
        node.restore(at(1, 80), ready("a", at(1, 10)));
        node.complete(at(1, 90), evacuation("z", at(1, 90)));
        assertThat(node.evacuatedZones()).containsExactly("z");
        assertThat(node.feed().changePosition()).isEqualTo(at(1, 90));
    }

    @Test
    void compactionLeadsToTheListOfTheLaterEra() {
        node.complete(new StoreReadResult.RevisionCompacted());
        node.complete(at(1, 80), ready("a", at(1, 10)), ready("b", at(1, 70)));
        assertThat(node.feed().position()).isEqualTo(at(1, 80));
        assertThat(node.upstreams()).containsOnlyKeys("a", "b");
    }

    /** The node learns of the restoration by another one while its watch of the store is pending. */
    @Test
    void pendingWatchOfTheOlderEraIsNotAppliedAfterTheCrossing() {
        crossByAnotherNode();
        node.complete(at(0, 105), evacuation("z", at(0, 105)));
        assertThat(node.feed().position()).isEqualTo(at(1, 80));
        assertThat(node.evacuatedZones()).isEmpty();
        node.complete(at(1, 82), evacuation("y", at(1, 82)));
        assertThat(node.evacuatedZones()).containsExactly("y");
    }

    /** The store takes the revision of the older era for one of its own, and leaves out what is below. */
    @Test
    void pendingWatchThatTheRestoredStoreCompletesIsNotApplied() {
        crossByAnotherNode();
        node.complete(at(1, 105), evacuation("z", at(1, 105)));
        assertThat(node.feed().position()).isEqualTo(at(1, 80));
        assertThat(node.reader().lastAfter()).isEqualTo(at(1, 80));
        node.complete(at(1, 105), evacuation("y", at(1, 85)), evacuation("z", at(1, 105)));
        assertThat(node.evacuatedZones()).containsExactly("y", "z");
    }

    private void crossByAnotherNode() {
        node.feed().outOfBandReads().readChanges(AHEAD, result -> {});
        node.reader().complete(AHEAD, page(FeedFixture.RELAY, at(1, 80), ready("b", at(1, 70))));
        assertThat(node.feed().position()).isEqualTo(at(1, 80));
    }

    @Test
    void fallingEraIsNotAppliedAndDoesNotEndTheReading() {
        node.restore(at(2, 80), ready("a", at(2, 10)));
        for (int i = 0; i < 5; i++) {
            node.complete(at(1, 200 + i), evacuation("z", at(1, 200 + i)));
        }
        assertThat(node.feed().position()).isEqualTo(at(2, 80));
        assertThat(node.evacuatedZones()).isEmpty();
        node.complete(at(2, 81), evacuation("y", at(2, 81)));
        assertThat(node.evacuatedZones()).containsExactly("y");
    }

    @Test
    void listOfTheOlderEraIsNotTakenAfterTheCrossing() {
        node.restore(at(1, 80), ready("a", at(1, 10)));
        node.complete(new StoreReadResult.RevisionCompacted());
        node.complete(at(0, 120), ready("b", at(0, 110)));
        assertThat(node.feed().position()).isEqualTo(at(1, 80));
        assertThat(node.upstreams()).containsOnlyKeys("a");
        assertThat(node.feed().lists().refusedLists()).isEqualTo(1);
        node.complete(at(1, 85), ready("a", at(1, 10)), ready("c", at(1, 84)));
        assertThat(node.upstreams()).containsOnlyKeys("a", "c");
    }

    @Test
    void listWhoseEraChangesBetweenItsPagesIsReadAgain() {
        node.complete(new StoreReadResult.RevisionCompacted());
        node.complete(truncatedPage(at(0, 102), ready("a", at(0, 10)), ready("b", at(0, 101))));
        node.complete(at(1, 80), ready("c", at(1, 70)));
        assertThat(node.feed().position()).isEqualTo(at(0, 100));
        assertThat(node.upstreams()).containsOnlyKeys("a");
        node.complete(truncatedPage(at(1, 81), ready("a", at(1, 10))));
        node.complete(at(1, 82), ready("c", at(1, 70)));
        assertThat(node.feed().position()).isEqualTo(at(1, 81));
        assertThat(node.upstreams()).containsOnlyKeys("a", "c");
    }

    @Test
    void twoErasAtOnceNeedOneList() {
        node.restore(at(2, 60), ready("a", at(2, 10)));
        assertThat(node.feed().position()).isEqualTo(at(2, 60));
        assertThat(node.feed().lists().lists()).isEqualTo(2);
    }

    @Test
    void secondRestorationWaitsForThePauseAndIsRead() {
        node.restore(at(1, 80), ready("a", at(1, 10)));
        node.complete(at(2, 75));
        node.advance(LIST_PAUSE);
        assertThat(node.reader().pending()).containsExactly(FeedFixture.STORE);
        node.complete(at(2, 75), ready("a", at(2, 10)), evacuation("z", at(2, 74)));
        assertThat(node.feed().position()).isEqualTo(at(2, 75));
        assertThat(node.evacuatedZones()).containsExactly("z");
    }

    @Test
    void relayOfTheOlderEraNeitherTakesBackNorConfirms() {
        node.restore(at(1, 80), ready("a", at(1, 10)), ready("b", at(1, 70)));
        node.switchTo(FeedFixture.RELAY);
        node.advance(Duration.ofMillis(300));
        long ageMillis = node.feed().confirmedAgeMillis();
        node.complete(at(0, 130), evacuation("z", at(0, 130)));
        assertThat(node.feed().position()).isEqualTo(at(1, 80));
        assertThat(node.evacuatedZones()).isEmpty();
        assertThat(node.feed().confirmedAgeMillis()).isGreaterThanOrEqualTo(ageMillis);
    }

    @Test
    void firstListAheadOfTheRestoredStoreIsReplaced() {
        FleetFixture starting = new FleetFixture();
        starting.start(at(1, 100), ready("a", at(1, 10)));
        starting.complete(at(1, 82), evacuation("z", at(1, 82)));
        starting.complete(at(1, 82), ready("a", at(1, 10)), evacuation("z", at(1, 82)));
        assertThat(starting.feed().position()).isEqualTo(at(1, 82));
        assertThat(starting.evacuatedZones()).isEqualTo(Set.of("z"));
        starting.complete(at(1, 83), evacuation("y", at(1, 83)));
        assertThat(starting.evacuatedZones()).isEqualTo(Set.of("y", "z"));
    }

    /** A relay that is behind does not show that the stale list was of the store's history. */
    @Test
    void firstListAheadOfTheRestoredStoreIsReplacedAfterAReadOfARelay() {
        FleetFixture starting = new FleetFixture();
        starting.feed().start();
        starting.complete(at(1, 100), ready("a", at(1, 10)));
        starting.choose(FeedFixture.RELAY);
        starting.advance(Duration.ofMillis(400));
        starting.complete(at(1, 82));
        starting.choose(FeedFixture.STORE);
        starting.reader().complete(FeedFixture.RELAY, new StoreReadResult.Failed("connection refused"));
        starting.complete(at(1, 85));
        starting.complete(at(1, 85), ready("a", at(1, 10)), evacuation("z", at(1, 84)));
        assertThat(starting.feed().position()).isEqualTo(at(1, 85));
        assertThat(starting.evacuatedZones()).containsExactly("z");
    }

    /** A starting node may have listed the lost history, stale and with the era of the restored store. */
    @Test
    void staleFirstListDoesNotTakeNodesOfTheOlderEraAcross() {
        FleetFixture starting = new FleetFixture();
        starting.feed().start();
        starting.complete(at(1, 100), ready("a", at(1, 10)));
        assertThat(starting.feed().replicaState()).isEqualTo(ReplicaState.NONE);
        starting.advance(Duration.ofMillis(400));
        starting.complete(at(1, 101));
        assertThat(starting.feed().replicaState().listPosition()).isEqualTo(at(1, 100));
    }

    /** All nodes begin with a list that may be stale; the differences of a later era leave nothing of it in doubt. */
    @Test
    void nodeThatHasGoneOnToTheLaterEraDoesNotListAgain() {
        node.switchTo(FeedFixture.RELAY);
        node.complete(at(1, 80), ready("b", at(1, 70)));
        node.advance(LIST_PAUSE);
        node.feed().outOfBandReads().resolveDoubt(AHEAD, LIST_PAUSE.toMillis());
        assertThat(node.reader().count(StoreSource.Kind.NODE_AHEAD)).isZero();
    }

    /** That a node was cut off does not make the lists older with which others began long after the restoration. */
    @Test
    void nodeThatGoesOnToTheEraLateCausesNoListsOfTheOthers() {
        node.advance(Duration.ofMinutes(1));
        node.feed().outOfBandReads().resolveDoubt(AHEAD, LIST_PAUSE.toMillis());
        assertThat(node.reader().count(StoreSource.Kind.NODE_AHEAD)).isZero();
    }

    @Test
    void nodeThatBeganBesideTheRestorationListsFromOneThatWentThroughIt() {
        node.advance(LIST_PAUSE);
        node.feed().outOfBandReads().resolveDoubt(AHEAD, LIST_PAUSE.toMillis());
        assertThat(node.reader().count(StoreSource.Kind.NODE_AHEAD)).isEqualTo(1);
    }
}
