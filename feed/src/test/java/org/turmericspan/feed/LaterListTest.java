package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.StorePosition;

/** What the readers of a replica get after it was listed again, since the store had forgotten its history. */
class LaterListTest {
    private final FeedFixture node = new FeedFixture();

    /** Lists zone-a at revision 12 and zone-b at 13 before, and zone-b and zone-c in the list of revision 20. */
    @BeforeEach
    void listAgain() {
        node.start(10);
        node.reader()
                .complete(
                        FeedFixture.RELAY,
                        FeedFixture.page(
                                13, 0, FeedFixture.evacuation("zone-a", 12), FeedFixture.evacuation("zone-b", 13)));
        node.worker().advance(node.limits().limit());
        node.reader().complete(FeedFixture.RELAY, new StoreReadResult.RevisionCompacted());
        node.reader()
                .complete(
                        FeedFixture.RELAY,
                        FeedFixture.page(
                                20, 0, FeedFixture.evacuation("zone-b", 13), FeedFixture.evacuation("zone-c", 18)));
    }

    private List<String> changesAfter(long revision) {
        return node.feed().mirror().changesAfter(new StorePosition(0, revision), RelayStatus.STORE).items().stream()
                .map(item -> item.key() + (item.isRemoved() ? " removed" : "") + " at "
                        + item.position().revision())
                .toList();
    }

    @Test
    void readerFromBeforeTheListGetsTheDifference() {
        assertThat(node.feed().mirror().hasHistoryAfter(new StorePosition(0, 13)))
                .isTrue();
        assertThat(changesAfter(13)).containsExactly("zone-c at 18", "zone-a removed at 20");
        assertThat(node.feed().mirror().hasHistoryAfter(new StorePosition(0, 10)))
                .isTrue();
        assertThat(changesAfter(10)).containsExactly("zone-b at 13", "zone-c at 18", "zone-a removed at 20");
    }

    /** What was added after 13 and removed before 20 is in no list. */
    @Test
    void readerFromBetweenHasToListAgain() {
        assertThat(node.feed().mirror().hasHistoryAfter(new StorePosition(0, 14)))
                .isFalse();
        assertThat(node.feed().mirror().hasHistoryAfter(new StorePosition(0, 19)))
                .isFalse();
        assertThat(node.feed().mirror().hasHistoryAfter(new StorePosition(0, 20)))
                .isTrue();
    }

    @Test
    void readerFromBeforeTheFirstListHasToListAgain() {
        assertThat(node.feed().mirror().hasHistoryAfter(new StorePosition(0, 9)))
                .isFalse();
    }

    @Test
    void differencesCountAmongTheChangesThatTheNodeTells() {
        assertThat(node.feed().changePosition().revision()).isEqualTo(20);
        assertThat(node.feed().listPosition().revision()).isEqualTo(10);
    }

    private void listAgain(long revision, StoreItem... items) {
        node.reader().complete(FeedFixture.RELAY, new StoreReadResult.RevisionCompacted());
        node.worker().advance(node.limits().limit());
        node.reader().complete(FeedFixture.RELAY, FeedFixture.page(revision, 0, items));
    }

    private boolean hasHistoryAfter(long revision) {
        return node.feed().mirror().hasHistoryAfter(new StorePosition(0, revision));
    }

    /** Each list has a gap of its own; readers from within one list again, all others get the differences. */
    @Test
    void secondListKeepsTheDifferencesOfTheFirst() {
        listAgain(30, FeedFixture.evacuation("zone-b", 13));
        assertThat(hasHistoryAfter(13)).isTrue();
        assertThat(changesAfter(13)).containsExactly("zone-a removed at 20", "zone-c removed at 30");
        assertThat(hasHistoryAfter(14)).isFalse();
        assertThat(hasHistoryAfter(20)).isTrue();
        assertThat(hasHistoryAfter(25)).isFalse();
        assertThat(changesAfter(20)).containsExactly("zone-c removed at 30");
    }

    /** The number of gaps is bounded; readers from before the oldest that is known list again. */
    @Test
    void historyBeforeTheOldestGapIsDropped() {
        for (int i = 1; i <= 7; i++) {
            listAgain(20 + 10 * i, FeedFixture.evacuation("zone-b", 13));
        }
        assertThat(hasHistoryAfter(13)).isTrue();
        listAgain(100, FeedFixture.evacuation("zone-b", 13));
        assertThat(hasHistoryAfter(13)).isFalse();
        assertThat(hasHistoryAfter(20)).isTrue();
        assertThat(hasHistoryAfter(25)).isFalse();
    }
}
