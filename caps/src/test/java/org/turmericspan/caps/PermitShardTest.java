package org.turmericspan.caps;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.caps.CapLimits.ShardLimits;

class PermitShardTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Two permits a second, ten at most. */
    private static final ShardLimits LIMITS = new ShardLimits(1, 2.0 / SECOND, 10);

    private final PermitShard shard = new PermitShard(0);
    private long number;

    private CapAnswer ask(long asker, int waiting, int ahead, int returned, long nowNanos) {
        number++;
        return shard.take(new CapAsk(1, asker, number, waiting, ahead, returned), LIMITS, nowNanos);
    }

    @Test
    void beginsEmptyAndGainsPermitsByItsRate() {
        assertThat(ask(1, 1, 0, 0, 0).verdict()).isEqualTo(CapAnswer.Verdict.EMPTY);
        assertThat(ask(1, 5, 0, 0, SECOND).granted()).isEqualTo(2);
    }

    @Test
    void gainsNothingBeforeItIsHeld() {
        PermitShard later = new PermitShard(3 * SECOND);
        CapAsk early = new CapAsk(1, 1, 1, 1, 0, 0);
        assertThat(later.take(early, LIMITS, 2 * SECOND).emptyMillis()).isEqualTo(1_500);
        CapAsk late = new CapAsk(1, 1, 2, 9, 0, 0);
        assertThat(later.take(late, LIMITS, 4 * SECOND).granted()).isEqualTo(2);
    }

    @Test
    void capacityCountsWhatMayStillBeUsed() {
        CapAnswer first = ask(1, 1, 20, 0, 100 * SECOND);
        assertThat(first.granted()).isEqualTo(1);
        assertThat(first.ahead()).isEqualTo(4);
        // Level 5, 5 usable: the shard is at its capacity and gains nothing until the first grant ends.
        assertThat(ask(2, 20, 0, 0, 100 * SECOND + SECOND / 5).granted()).isEqualTo(5);
    }

    @Test
    void useIsToldByTheNextAskOfTheSameNode() {
        ask(1, 1, 20, 0, 100 * SECOND);
        ask(1, 1, 0, 0, 100 * SECOND + 1);
        // The four later permits were used, so that 4 of 10 are left and there is room for what is gained.
        assertThat(ask(2, 20, 0, 0, 101 * SECOND).granted()).isEqualTo(6);
    }

    @Test
    void returnedPermitsAreGivenAgain() {
        CapAnswer first = ask(1, 1, 20, 0, 100 * SECOND);
        assertThat(first.ahead()).isEqualTo(4);
        long nowNanos = 100 * SECOND + 1;
        assertThat(ask(1, 20, 0, 4, nowNanos).granted()).isEqualTo(9);
    }

    @Test
    void noMorePermitsAreReturnedThanWereGranted() {
        ask(1, 1, 0, 0, 100 * SECOND);
        assertThat(ask(1, 20, 0, 200, 100 * SECOND + 1).granted()).isEqualTo(9);
    }

    @Test
    void repeatedAskGetsTheSamePermits() {
        CapAsk ask = new CapAsk(1, 1, 7, 3, 0, 0);
        CapAnswer first = shard.take(ask, LIMITS, 100 * SECOND);
        assertThat(shard.take(ask, LIMITS, 100 * SECOND + 1)).isEqualTo(first);
        assertThat(shard.take(new CapAsk(1, 2, 1, 20, 0, 0), LIMITS, 100 * SECOND + 2)
                        .granted())
                .isEqualTo(7);
    }

    @Test
    void olderAskOfSameNodeGetsNothing() {
        shard.take(new CapAsk(1, 1, 7, 3, 0, 0), LIMITS, 100 * SECOND);
        CapAnswer answer = shard.take(new CapAsk(1, 1, 6, 3, 0, 0), LIMITS, 100 * SECOND + 1);
        assertThat(answer.granted()).isZero();
    }

    @Test
    void lowerCapTakesEffectAtOnce() {
        ShardLimits lower = new ShardLimits(1, 1.0 / SECOND, 3);
        shard.take(new CapAsk(1, 1, 1, 1, 0, 0), LIMITS, 100 * SECOND);
        assertThat(shard.take(new CapAsk(1, 2, 1, 20, 0, 0), lower, 101 * SECOND)
                        .granted())
                .isEqualTo(3);
    }

    @Test
    void refusedCallersGetSuccessiveTimes() {
        ask(1, 10, 0, 0, 100 * SECOND);
        long nowNanos = 100 * SECOND + 1;
        assertThat(ask(2, 1, 0, 0, nowNanos).retryMillis()).isEqualTo(500);
        assertThat(ask(3, 1, 0, 0, nowNanos).retryMillis()).isEqualTo(1_000);
        for (int i = 0; i < 10; i++) {
            assertThat(ask(4 + i, 1, 0, 0, nowNanos).retryMillis()).isBetween(1_500L, 2_000L);
        }
    }
}
