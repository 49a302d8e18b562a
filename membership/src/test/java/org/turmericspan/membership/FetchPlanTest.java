package org.turmericspan.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.VmId;
import org.turmericspan.testkit.ManualClock;

final class FetchPlanTest {
    private static final VmId FIRST = new VmId("entry-01");
    private static final VmId SECOND = new VmId("entry-02");

    private final ManualClock clock = new ManualClock();
    private final FetchPlan<Long> plan = new FetchPlan<>();

    @Test
    void theHighestVersionAboveTheCurrentOneIsFetched() {
        assertThat(plan.begin(3L, List.of(offer(FIRST, 4), offer(SECOND, 5)), clock.nowNanos()))
                .contains(SECOND);
    }

    @Test
    void nothingIsFetchedWhenNoPeerIsAhead() {
        assertThat(plan.begin(5L, List.of(offer(FIRST, 4), offer(SECOND, 5)), clock.nowNanos()))
                .isEmpty();
    }

    @Test
    void secondFetchWaitsForTheFirst() {
        plan.begin(3L, List.of(offer(FIRST, 4)), clock.nowNanos());

        assertThat(plan.begin(3L, List.of(offer(FIRST, 4)), clock.nowNanos())).isEmpty();
    }

    @Test
    void failingPeerRestsAndTheNextOneIsAsked() {
        plan.begin(3L, List.of(offer(FIRST, 4), offer(SECOND, 4)), clock.nowNanos());
        plan.end(FIRST, false, clock.nowNanos());

        assertThat(plan.begin(3L, List.of(offer(FIRST, 4), offer(SECOND, 4)), clock.nowNanos()))
                .contains(SECOND);
    }

    @Test
    void failingPeerIsAskedAgainAfterItsRest() {
        plan.begin(3L, List.of(offer(FIRST, 4)), clock.nowNanos());
        plan.end(FIRST, false, clock.nowNanos());
        clock.advance(FetchPlan.REST_AFTER_FAILURE);

        assertThat(plan.begin(3L, List.of(offer(FIRST, 4)), clock.nowNanos())).contains(FIRST);
    }

    private static FetchPlan.Offer<Long> offer(VmId peer, long version) {
        return new FetchPlan.Offer<>(peer, version);
    }
}
