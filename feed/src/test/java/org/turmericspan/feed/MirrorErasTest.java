package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.StorePosition;

/** What the readers of a replica get across restorations of the store. */
class MirrorErasTest {
    private final StoreMirror mirror = new StoreMirror();

    private static StorePosition at(long era, long revision) {
        return new StorePosition(era, revision);
    }

    private static StoreItem item(String key, long era, long revision) {
        return new StoreItem(key, new byte[] {1}, at(era, revision), false);
    }

    private void list(StorePosition position, StoreItem... items) {
        mirror.beginReplacement(position);
        for (StoreItem item : items) {
            mirror.put(item, !mirror.hasValueOf(item));
        }
        mirror.completeReplacement(position);
        mirror.advance(position);
    }

    private List<String> changesAfter(StorePosition after) {
        return mirror.changesAfter(after, RelayStatus.STORE).items().stream()
                .map(item -> item.key() + (item.isRemoved() ? " removed" : "") + " at " + item.position())
                .toList();
    }

    private void assertHistory(boolean isKnown, StorePosition... positions) {
        for (StorePosition position : positions) {
            assertThat(mirror.hasHistoryAfter(position))
                    .as("after %s", position)
                    .isEqualTo(isKnown);
        }
    }

    /** Lists a, b and c at 0/100, changes a at 0/110, and lists the restored store at 1/95 without c, but with d. */
    @BeforeEach
    void restore() {
        list(at(0, 100), item("a", 0, 10), item("b", 0, 20), item("c", 0, 99));
        mirror.put(new StoreItem("a", new byte[] {2}, at(0, 110), false), true);
        mirror.advance(at(0, 112));
        list(at(1, 95), item("a", 1, 10), item("b", 1, 20), item("d", 1, 93));
    }

    @Test
    void readerOfTheOlderEraUpToTheReplicaGetsTheDifferences() {
        assertHistory(true, at(0, 100), at(0, 105), at(0, 112));
        assertThat(changesAfter(at(0, 112))).containsExactly("a at 1/10", "d at 1/93", "c removed at 1/95");
        assertThat(changesAfter(at(0, 100))).containsExactly("a at 1/10", "d at 1/93", "c removed at 1/95");
        assertThat(mirror.hasChangesAfter(at(0, 112))).isTrue();
    }

    @Test
    void unchangedItemKeepsItsPosition() {
        assertThat(mirror.positionOf("b")).isEqualTo(at(0, 20));
        assertThat(mirror.snapshot(RelayStatus.STORE).items())
                .extracting(StoreItem::key)
                .containsExactlyInAnyOrder("a", "b", "d");
    }

    /** It has changes that this replica never had, and which the differences do not undo. */
    @Test
    void readerThatWasAheadInTheOlderEraHasToListAgain() {
        assertHistory(false, at(0, 113), at(0, 5_000));
    }

    /** It has read the restored store itself, and what was removed before may have been read by it. */
    @Test
    void readerOfTheLaterEraBeforeTheListHasToListAgain() {
        assertHistory(false, at(1, 1), at(1, 94));
        assertHistory(true, at(1, 95), at(1, 96));
    }

    @Test
    void readerFromBeforeTheFirstListHasToListAgain() {
        assertHistory(false, StorePosition.START, at(0, 99));
    }

    @Test
    void readerInTheLaterEraGetsWhatFollows() {
        mirror.put(item("c", 1, 97), true);
        mirror.advance(at(1, 98));
        assertThat(changesAfter(at(1, 95))).containsExactly("c at 1/97");
        assertThat(changesAfter(at(0, 112))).containsExactly("a at 1/10", "d at 1/93", "c at 1/97");
        assertThat(mirror.hasChangesAfter(at(1, 98))).isFalse();
    }

    @Test
    void readerFromTwoErasBeforeGetsTheDifferencesOfBoth() {
        mirror.advance(at(1, 98));
        list(at(2, 90), item("a", 2, 10), item("b", 2, 20), item("e", 2, 88));
        assertHistory(true, at(0, 100), at(0, 112), at(1, 95), at(1, 98), at(2, 90));
        assertHistory(false, at(0, 113), at(1, 94), at(1, 99), at(2, 1), at(2, 89));
        assertThat(changesAfter(at(0, 112)))
                .containsExactly("a at 1/10", "c removed at 1/95", "e at 2/88", "d removed at 2/90");
        assertThat(changesAfter(at(1, 98))).containsExactly("e at 2/88", "d removed at 2/90");
    }

    @Test
    void replicaThatCrossedByTheDifferencesOfAnotherHasTheSameGap() {
        StoreMirror second = new StoreMirror();
        second.beginReplacement(at(0, 100));
        second.completeReplacement(at(0, 100));
        second.advance(at(0, 104));
        second.put(item("d", 1, 93), true);
        second.advance(at(1, 95));
        assertThat(second.hasHistoryAfter(at(0, 104))).isTrue();
        assertThat(second.hasHistoryAfter(at(0, 105))).isFalse();
        assertThat(second.hasHistoryAfter(at(1, 94))).isFalse();
        assertThat(second.hasHistoryAfter(at(1, 95))).isTrue();
    }

    /** A reader in between would take a part of the differences for changes that were written. */
    @Test
    void differencesAreReadableOnlyWhenAllAreStored() {
        mirror.put(item("e", 2, 88), true);
        assertThat(mirror.hasChangesAfter(at(1, 95))).isFalse();
        assertThat(changesAfter(at(1, 95))).isEmpty();
        mirror.put(new StoreItem("d", new byte[0], at(2, 90), true), true);
        mirror.advance(at(2, 90));
        assertThat(mirror.hasChangesAfter(at(1, 95))).isTrue();
        assertThat(changesAfter(at(1, 95))).containsExactly("e at 2/88", "d removed at 2/90");
    }

    @Test
    void readersOfAReplicaThatBeganAnewHaveToListAgain() {
        mirror.restart("a");
        list(at(1, 80), item("b", 1, 20));
        assertHistory(false, at(0, 112), at(1, 79));
        assertHistory(true, at(1, 80));
    }

    /** A reader of the same position had the item as removed, too, and must not miss that it is back. */
    @Test
    void itemThatAListBringsBackIsAChangeThoughItsSourceHadItAllAlong() {
        list(at(2, 50));
        list(at(2, 60), item("a", 1, 10));
        assertThat(changesAfter(at(2, 50))).containsExactly("a at 2/60");
        assertThat(changesAfter(at(2, 60))).isEmpty();
    }
}
