package org.turmericspan.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.VmId;
import org.turmericspan.testkit.ManualClock;

final class FetchSchedulerTest {
    private static final VmId FIRST_PEER = new VmId("entry-01");
    private static final VmId SECOND_PEER = new VmId("entry-02");

    private final ManualClock clock = new ManualClock();
    private final FetchScheduler<Long> scheduler = new FetchScheduler<>();

    @Test
    void theHighestVersionAboveTheCurrentOneIsFetched() {
        assertThat(scheduler.tryStart(3L, List.of(offer(FIRST_PEER, 4), offer(SECOND_PEER, 5)), clock.nowNanos()))
                .contains(SECOND_PEER);
    }

    @Test
    void nothingIsFetchedWhenNoPeerIsAhead() {
        assertThat(scheduler.tryStart(5L, List.of(offer(FIRST_PEER, 4), offer(SECOND_PEER, 5)), clock.nowNanos()))
                .isEmpty();
    }

    @Test
    void secondFetchWaitsForTheFirst() {
        scheduler.tryStart(3L, List.of(offer(FIRST_PEER, 4)), clock.nowNanos());

        assertThat(scheduler.tryStart(3L, List.of(offer(FIRST_PEER, 4)), clock.nowNanos()))
                .isEmpty();
    }

    @Test
    void otherPeerIsChosenDuringBackoffOfFailingPeer() {
        scheduler.tryStart(3L, List.of(offer(FIRST_PEER, 4), offer(SECOND_PEER, 4)), clock.nowNanos());
        scheduler.finish(FIRST_PEER, false, clock.nowNanos());

        assertThat(scheduler.tryStart(3L, List.of(offer(FIRST_PEER, 4), offer(SECOND_PEER, 4)), clock.nowNanos()))
                .contains(SECOND_PEER);
    }

    @Test
    void failingPeerIsChosenAgainAfterBackoff() {
        scheduler.tryStart(3L, List.of(offer(FIRST_PEER, 4)), clock.nowNanos());
        scheduler.finish(FIRST_PEER, false, clock.nowNanos());
        clock.advance(FetchScheduler.FAILURE_BACKOFF);

        assertThat(scheduler.tryStart(3L, List.of(offer(FIRST_PEER, 4)), clock.nowNanos()))
                .contains(FIRST_PEER);
    }

    private static FetchScheduler.Offer<Long> offer(VmId peer, long version) {
        return new FetchScheduler.Offer<>(peer, version);
    }
}
