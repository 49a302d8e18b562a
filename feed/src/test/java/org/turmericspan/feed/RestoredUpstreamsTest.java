package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.turmericspan.feed.FleetFixture.at;
import static org.turmericspan.feed.FleetFixture.draining;
import static org.turmericspan.feed.FleetFixture.ready;
import static org.turmericspan.feed.FleetFixture.upstream;
import static org.turmericspan.feed.FleetFixture.upstreamRemoval;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.SocketAddress;

/** What a restoration of the store from an older copy does to the upstreams in force. */
class RestoredUpstreamsTest {
    private static final StoreSource OTHER_RELAY =
            new StoreSource(new SocketAddress("10.0.0.7", 7_000), StoreSource.Kind.ZONE_READER);
    /** Two seconds for a live server to register again, and the limit of a change until the node knows. */
    private static final Duration GRACE = Duration.ofSeconds(4);

    private static final Duration HOLD = Duration.ofSeconds(10);
    private static final Duration INSTANT = Duration.ofMillis(10);

    private final FleetFixture node = new FleetFixture();

    @BeforeEach
    void start() {
        node.start(at(0, 100), ready("a", at(0, 10)), ready("b", at(0, 90)), draining("c", at(0, 95)));
        node.takeSeenUpstreamStates();
    }

    private void assertInForce(String... idsAndStates) {
        Map<String, String> expected = new TreeMap<>();
        for (int i = 0; i < idsAndStates.length; i += 2) {
            expected.put(idsAndStates[i], idsAndStates[i + 1]);
        }
        assertThat(node.upstreams()).isEqualTo(expected);
    }

    @Test
    void upstreamThatTheCopyLacksIsUsedUntilItsGraceEnds() {
        node.restore(at(1, 80), ready("a", at(1, 10)), draining("c", at(1, 75)));
        node.advance(GRACE.minus(INSTANT));
        assertInForce("a", "ready", "b", "ready", "c", "draining");
        node.advance(INSTANT);
        assertInForce("a", "ready", "c", "draining");
    }

    @Test
    void upstreamThatRegistersAgainIsUsedAllTheTime() {
        node.restore(at(1, 80), ready("a", at(1, 10)), draining("c", at(1, 75)));
        node.complete(at(1, 81), ready("b", at(1, 81)));
        node.advance(HOLD.plus(INSTANT));
        assertInForce("a", "ready", "b", "ready", "c", "draining");
        assertThat(node.takeSeenUpstreamStates()).doesNotContain("b removed");
    }

    @Test
    void drainingUpstreamIsNotTakenForReady() {
        node.restore(at(1, 80), ready("a", at(1, 10)), ready("b", at(1, 60)), ready("c", at(1, 70)));
        node.complete(at(1, 85), draining("c", at(1, 85)));
        node.advance(HOLD.plus(INSTANT));
        assertInForce("a", "ready", "b", "ready", "c", "draining");
        assertThat(node.takeSeenUpstreamStates()).doesNotContain("c ready");
    }

    @Test
    void stateOfTheStoreIsInForceAfterTheHold() {
        node.restore(at(1, 80), ready("a", at(1, 10)), ready("b", at(1, 60)), ready("c", at(1, 70)));
        node.advance(HOLD.minus(INSTANT));
        assertThat(node.upstreams()).containsEntry("c", "draining");
        node.advance(INSTANT);
        assertThat(node.upstreams()).containsEntry("c", "ready");
    }

    @Test
    void laterStartOfADrainingUpstreamIsUsedAtOnce() {
        node.restore(at(1, 80), ready("a", at(1, 10)), ready("b", at(1, 60)), upstream("c", "ready", 2_000, at(1, 79)));
        assertThat(node.upstreams()).containsEntry("c", "ready");
    }

    @Test
    void earlierStartOfAnUpstreamIsNotUsed() {
        node.restore(at(1, 80), upstream("a", "draining", 500, at(1, 5)), ready("b", at(1, 60)));
        assertThat(node.upstreams()).containsEntry("a", "ready");
    }

    @Test
    void removedUpstreamIsNotUsedAgainBeforeItRegisters() {
        node.complete(at(0, 101), upstreamRemoval("b", at(0, 101)));
        assertInForce("a", "ready", "c", "draining");
        node.restore(at(1, 80), ready("a", at(1, 10)), ready("b", at(1, 60)), draining("c", at(1, 75)));
        node.advance(HOLD.minus(INSTANT));
        assertInForce("a", "ready", "c", "draining");
        node.advance(INSTANT);
        assertInForce("a", "ready", "b", "ready", "c", "draining");
    }

    @Test
    void registrationOfARemovedUpstreamEndsTheHold() {
        node.complete(at(0, 101), upstreamRemoval("b", at(0, 101)));
        node.restore(at(1, 80), ready("a", at(1, 10)), ready("b", at(1, 60)), draining("c", at(1, 75)));
        node.complete(at(1, 82), ready("b", at(1, 82)));
        assertThat(node.upstreams()).containsEntry("b", "ready");
    }

    @Test
    void removalInTheStoreEndsTheHold() {
        node.restore(at(1, 80), ready("a", at(1, 10)), ready("b", at(1, 60)), ready("c", at(1, 70)));
        node.complete(at(1, 82), upstreamRemoval("c", at(1, 82)));
        assertInForce("a", "ready", "b", "ready");
        node.advance(HOLD);
        assertInForce("a", "ready", "b", "ready");
    }

    @Test
    void holdLastsThroughAListOfTheSameEra() {
        node.restore(at(1, 80), ready("a", at(1, 10)), ready("b", at(1, 60)), ready("c", at(1, 70)));
        node.complete(new StoreReadResult.RevisionCompacted());
        node.complete(at(1, 84), ready("a", at(1, 10)), ready("b", at(1, 60)), ready("c", at(1, 70)));
        assertThat(node.upstreams()).containsEntry("c", "draining");
    }

    @Test
    void secondRestorationHoldsAgain() {
        node.restore(at(1, 80), ready("a", at(1, 10)), ready("b", at(1, 60)), ready("c", at(1, 70)));
        node.advance(HOLD.dividedBy(2));
        node.restore(at(2, 75), ready("a", at(2, 10)), ready("b", at(2, 60)), ready("c", at(2, 70)));
        node.advance(HOLD.dividedBy(2).plus(GRACE));
        assertThat(node.upstreams()).containsEntry("c", "draining");
        node.advance(HOLD.dividedBy(2));
        assertThat(node.upstreams()).containsEntry("c", "ready");
    }

    @Test
    void differencesOfARelayAreHeldAsAListIs() {
        node.switchTo(FeedFixture.RELAY);
        node.complete(at(1, 80), ready("c", at(1, 70)), upstreamRemoval("b", at(1, 80)));
        assertInForce("a", "ready", "b", "ready", "c", "draining");
        node.advance(GRACE);
        assertInForce("a", "ready", "c", "draining");
        node.advance(HOLD);
        assertInForce("a", "ready", "c", "ready");
    }

    /** Another relay has listed the restored store a little later, and tells the same removal at its own position. */
    @Test
    void removalToldAgainByAnotherRelayDoesNotEndTheGrace() {
        node.switchTo(FeedFixture.RELAY);
        node.complete(at(1, 80), upstreamRemoval("b", at(1, 80)));
        node.switchTo(OTHER_RELAY);
        node.complete(at(1, 84), upstreamRemoval("b", at(1, 84)));
        assertThat(node.upstreams()).containsEntry("b", "ready");
        node.complete(at(1, 86), ready("b", at(1, 86)));
        node.advance(HOLD);
        assertThat(node.takeSeenUpstreamStates()).doesNotContain("b removed");
    }

    /** The upstream could not register while the store was away for the second time. */
    @Test
    void secondRestorationBeginsANewGrace() {
        node.restore(at(1, 80), ready("a", at(1, 10)), draining("c", at(1, 75)));
        node.advance(GRACE.minusMillis(100));
        node.restore(at(2, 78), ready("a", at(2, 10)), draining("c", at(2, 75)));
        node.complete(at(2, 79), ready("a", at(2, 79)));
        node.advance(GRACE.minusMillis(600));
        assertThat(node.upstreams()).containsEntry("b", "ready");
        node.advance(Duration.ofMillis(700));
        assertThat(node.upstreams()).doesNotContainKey("b");
    }

    @Test
    void secondRestorationThatARelayTellsBeginsANewGrace() {
        node.switchTo(FeedFixture.RELAY);
        node.complete(at(1, 80), upstreamRemoval("b", at(1, 80)));
        node.advance(GRACE.minusMillis(100));
        node.complete(at(2, 78));
        node.advance(GRACE.minusMillis(100));
        assertThat(node.upstreams()).containsEntry("b", "ready");
        node.advance(Duration.ofMillis(100));
        assertThat(node.upstreams()).doesNotContainKey("b");
    }

    /** A stale list of the older era need not tell so; the store's own positions show it. */
    @Test
    void firstListThatIsNoPartOfTheHistoryIsTakenBackLikeARestoration() {
        FleetFixture starting = new FleetFixture();
        starting.start(at(1, 100), ready("a", at(1, 10)), ready("b", at(1, 90)), draining("c", at(1, 95)));
        starting.takeSeenUpstreamStates();
        starting.complete(at(1, 82));
        starting.complete(at(1, 82), ready("a", at(1, 10)), ready("c", at(1, 70)));
        assertThat(starting.upstreams())
                .containsEntry("a", "ready")
                .containsEntry("b", "ready")
                .containsEntry("c", "draining");
        starting.complete(at(1, 83), ready("b", at(1, 83)));
        starting.advance(GRACE);
        assertThat(starting.takeSeenUpstreamStates()).doesNotContain("b removed", "c ready");
    }

    /** A copy with the registration at this revision would lack the removal and not the other way round. */
    @Test
    void registrationAboveTheRevisionOfTheRemovalIsNoCopy() {
        node.complete(at(0, 101), upstreamRemoval("b", at(0, 101)));
        node.restore(at(1, 110), ready("a", at(1, 10)), ready("b", at(1, 105)), draining("c", at(1, 95)));
        assertInForce("a", "ready", "b", "ready", "c", "draining");
    }

    /** The second copy was made before the first restoration, and has revisions above those given out since. */
    @Test
    void secondCopyOfTheLostHistoryTakesBackNeitherDrainingNorRemoval() {
        node.restore(at(1, 80), ready("a", at(1, 10)), ready("b", at(1, 60)), ready("c", at(1, 70)));
        node.complete(at(1, 84), draining("c", at(1, 82)), ready("b", at(1, 83)), upstreamRemoval("b", at(1, 84)));
        assertThat(node.upstreams()).containsEntry("c", "draining").doesNotContainKey("b");
        node.advance(HOLD.dividedBy(2));
        node.restore(at(2, 98), ready("a", at(2, 10)), ready("b", at(2, 90)), ready("c", at(2, 97)));
        assertThat(node.upstreams()).containsEntry("c", "draining").doesNotContainKey("b");
    }
}
