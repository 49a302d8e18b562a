package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.turmericspan.feed.FleetFixture.at;
import static org.turmericspan.feed.FleetFixture.evacuation;
import static org.turmericspan.feed.FleetFixture.evacuationRemoval;

import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.SocketAddress;

/** What a restoration of the store from an older copy does to the evacuations in force. */
class RestoredZonesTest {
    private static final StoreSource OTHER_RELAY =
            new StoreSource(new SocketAddress("10.0.0.7", 7_000), StoreSource.Kind.ZONE_READER);
    private static final Duration HOLD = Duration.ofSeconds(10);
    private static final Duration INSTANT = Duration.ofMillis(10);

    private final FleetFixture node = new FleetFixture();

    @BeforeEach
    void start() {
        node.start(at(0, 100), evacuation("a", at(0, 90)));
    }

    @Test
    void evacuationThatTheCopyLacksIsInForceUntilTheHoldEnds() {
        node.restore(at(1, 80));
        node.advance(HOLD.minus(INSTANT));
        assertThat(node.evacuatedZones()).containsExactly("a");
        node.advance(INSTANT);
        assertThat(node.evacuatedZones()).isEmpty();
    }

    @Test
    void evacuationThatIsWrittenAgainIsInForceAfterTheHold() {
        node.restore(at(1, 80));
        node.complete(at(1, 82), evacuation("a", at(1, 82)));
        node.advance(HOLD.plus(INSTANT));
        assertThat(node.evacuatedZones()).containsExactly("a");
    }

    @Test
    void evacuationThatIsWrittenAndTakenBackAgainEndsAtOnce() {
        node.restore(at(1, 80));
        node.complete(at(1, 82), evacuation("a", at(1, 82)));
        node.complete(at(1, 83), evacuationRemoval("a", at(1, 83)));
        assertThat(node.evacuatedZones()).isEmpty();
    }

    @Test
    void evacuationThatHadEndedIsInForceAfterTheHold() {
        node.complete(at(0, 101), evacuationRemoval("a", at(0, 101)));
        node.restore(at(1, 95), evacuation("a", at(1, 90)));
        node.advance(HOLD.minus(INSTANT));
        assertThat(node.evacuatedZones()).isEmpty();
        node.advance(INSTANT);
        assertThat(node.evacuatedZones()).containsExactly("a");
    }

    @Test
    void evacuationThatHadEndedAndIsWrittenAgainIsInForceAtOnce() {
        node.complete(at(0, 101), evacuationRemoval("a", at(0, 101)));
        node.restore(at(1, 95), evacuation("a", at(1, 90)));
        node.complete(at(1, 96), evacuation("a", at(1, 96)));
        assertThat(node.evacuatedZones()).containsExactly("a");
    }

    @Test
    void evacuationThatHadEndedAndIsTakenBackAgainNeverComesIntoForce() {
        node.complete(at(0, 101), evacuationRemoval("a", at(0, 101)));
        node.restore(at(1, 95), evacuation("a", at(1, 90)));
        node.complete(at(1, 96), evacuationRemoval("a", at(1, 96)));
        node.advance(HOLD.plus(INSTANT));
        assertThat(node.evacuatedZones()).isEmpty();
    }

    @Test
    void evacuationThatIsNewInTheRestoredStoreIsInForceAtOnce() {
        node.restore(at(1, 80), evacuation("a", at(1, 70)), evacuation("b", at(1, 79)));
        assertThat(node.evacuatedZones()).containsExactly("a", "b");
    }

    @Test
    void holdLastsThroughAListOfTheSameEra() {
        node.restore(at(1, 80));
        node.complete(new StoreReadResult.RevisionCompacted());
        node.complete(at(1, 84));
        assertThat(node.evacuatedZones()).containsExactly("a");
    }

    @Test
    void evacuationThatASecondRestorationBringsBackStays() {
        node.restore(at(1, 80));
        node.restore(at(2, 95), evacuation("a", at(2, 90)));
        node.advance(HOLD.plus(INSTANT));
        assertThat(node.evacuatedZones()).containsExactly("a");
    }

    @Test
    void secondRestorationWithoutTheEvacuationHoldsAgain() {
        node.restore(at(1, 80));
        node.advance(HOLD.dividedBy(2));
        node.restore(at(2, 75));
        node.advance(HOLD.minus(INSTANT));
        assertThat(node.evacuatedZones()).containsExactly("a");
        node.advance(INSTANT);
        assertThat(node.evacuatedZones()).isEmpty();
    }

    @Test
    void differencesOfARelayAreHeldAsAListIs() {
        node.switchTo(FeedFixture.RELAY);
        node.complete(at(1, 80), evacuationRemoval("a", at(1, 80)));
        node.advance(HOLD.minus(INSTANT));
        assertThat(node.evacuatedZones()).containsExactly("a");
        node.advance(INSTANT);
        assertThat(node.evacuatedZones()).isEmpty();
    }

    /** Another relay has listed the restored store a little later, and tells the same removal at its own position. */
    @Test
    void removalToldAgainByAnotherRelayDoesNotEndTheHold() {
        node.switchTo(FeedFixture.RELAY);
        node.complete(at(1, 80), evacuationRemoval("a", at(1, 80)));
        node.switchTo(OTHER_RELAY);
        node.complete(at(1, 84), evacuationRemoval("a", at(1, 84)));
        assertThat(node.evacuatedZones()).containsExactly("a");
    }

    /** A copy up to this revision would have the end of the first evacuation, too. */
    @Test
    void evacuationAboveTheRevisionOfItsEndIsInForceAtOnce() {
        node.complete(at(0, 101), evacuationRemoval("a", at(0, 101)));
        node.restore(at(1, 110), evacuation("a", at(1, 105)));
        assertThat(node.evacuatedZones()).containsExactly("a");
    }
}
