package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;

/** What a page of changes is good for, by its source and the positions of request, page and replica. */
class PageUseTest {
    private static final StoreSource NODE_AHEAD =
            new StoreSource(new SocketAddress("10.0.0.1", 7_000), StoreSource.Kind.NODE_AHEAD);

    private static PageUse use(StoreSource source, StorePosition after, StorePosition page, StorePosition replica) {
        return PageUse.of(source, after, new StorePage(List.of(), page, false, RelayStatus.STORE), replica);
    }

    private static StorePosition at(long era, long revision) {
        return new StorePosition(era, revision);
    }

    @Test
    void pageOfTheStoreInTheSameEraHasTheChanges() {
        assertThat(use(FeedFixture.STORE, at(1, 10), at(1, 12), at(1, 10))).isEqualTo(PageUse.CHANGES);
        assertThat(use(FeedFixture.STORE, at(1, 10), at(1, 10), at(1, 10))).isEqualTo(PageUse.CHANGES);
    }

    /** Changes that are known already are skipped one by one; the position of the page may still be the newest. */
    @Test
    void pageThatTheReplicaHasPassedWithinTheEraHasTheChanges() {
        assertThat(use(FeedFixture.STORE, at(1, 10), at(1, 12), at(1, 15))).isEqualTo(PageUse.CHANGES);
    }

    @Test
    void pageOfTheStoreInALaterEraCallsForAList() {
        assertThat(use(FeedFixture.STORE, at(0, 10), at(1, 12), at(0, 10))).isEqualTo(PageUse.LIST_NEEDED);
        assertThat(use(FeedFixture.STORE, at(0, 10), at(1, 5), at(0, 10))).isEqualTo(PageUse.LIST_NEEDED);
        assertThat(use(FeedFixture.STORE, at(0, 10), at(2, 5), at(1, 10))).isEqualTo(PageUse.LIST_NEEDED);
    }

    /** The store does not have what the replica has, though it told of no restoration. */
    @Test
    void pageOfTheStoreBeforeTheRequestedPositionCallsForAList() {
        assertThat(use(FeedFixture.STORE, at(1, 10), at(1, 8), at(1, 10))).isEqualTo(PageUse.LIST_NEEDED);
    }

    @Test
    void pageOfTheStoreFromBeforeTheRestorationIsOfAnEarlierEra() {
        assertThat(use(FeedFixture.STORE, at(0, 10), at(0, 12), at(1, 8))).isEqualTo(PageUse.EARLIER_ERA);
        assertThat(use(FeedFixture.STORE, at(1, 8), at(0, 12), at(1, 8))).isEqualTo(PageUse.EARLIER_ERA);
    }

    /** The store reads the revision of the older era as one of its own. */
    @Test
    void pageThatWasRequestedInAnEarlierEraIsOvertaken() {
        assertThat(use(FeedFixture.STORE, at(0, 10), at(1, 12), at(1, 8))).isEqualTo(PageUse.OVERTAKEN);
    }

    /** The replica began anew with a list of a lower position while the read was pending. */
    @Test
    void pageAfterAPositionThatTheReplicaHasGivenUpIsOvertaken() {
        assertThat(use(FeedFixture.STORE, at(1, 10), at(1, 12), at(1, 8))).isEqualTo(PageUse.OVERTAKEN);
        assertThat(use(FeedFixture.RELAY, at(1, 10), at(1, 12), at(1, 8))).isEqualTo(PageUse.OVERTAKEN);
    }

    @Test
    void pageOfANodeHasTheDifferencesAcrossEras() {
        for (StoreSource node : List.of(FeedFixture.RELAY, NODE_AHEAD)) {
            assertThat(use(node, at(0, 10), at(1, 8), at(0, 10))).isEqualTo(PageUse.CHANGES);
            assertThat(use(node, at(1, 8), at(0, 10), at(1, 8))).isEqualTo(PageUse.CHANGES);
        }
    }

    /** An item that was lost and written again is none of the differences, but one to the replica in between. */
    @Test
    void differencesToAnEarlierEraThatTheReplicaHasLeftAreOvertaken() {
        for (StoreSource node : List.of(FeedFixture.RELAY, NODE_AHEAD)) {
            assertThat(use(node, at(0, 10), at(1, 8), at(1, 5))).isEqualTo(PageUse.OVERTAKEN);
            assertThat(use(node, at(0, 10), at(1, 8), at(1, 9))).isEqualTo(PageUse.OVERTAKEN);
        }
    }
}
