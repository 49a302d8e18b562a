package org.turmericspan.publication;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ManualClock;

/** Tests the rate at which a node reads the platform, and the time up to which a response confirms a value. */
final class ReadSchedulingTest {
    private static final Duration WAIT = Duration.ofSeconds(10);

    private final ManualClock clock = new ManualClock();

    @Test
    void readsBeyondTheBurstAreLimitedToOnePerSecond() {
        ReadBudget budget = new ReadBudget(clock);
        for (int i = 0; i < 4; i++) {
            assertThat(budget.take()).isZero();
        }

        assertThat(budget.take()).isEqualTo(Duration.ofSeconds(1));
        assertThat(budget.take()).isEqualTo(Duration.ofSeconds(2));
    }

    @Test
    void readsAfterFailuresAreSpreadOverTheFullBackoff() {
        ReadBackoff backoff = new ReadBackoff(new SplittableRandom(7));
        for (int i = 0; i < 20; i++) {
            backoff.afterFailure();
        }
        Duration sum = Duration.ZERO;
        for (int i = 0; i < 1_000; i++) {
            sum = sum.plus(backoff.afterFailure());
        }

        assertThat(sum.dividedBy(1_000)).isBetween(Duration.ofMillis(4_500), Duration.ofMillis(5_500));
        assertThat(backoff.afterResponse()).isLessThanOrEqualTo(ReadBackoff.MAX_DELAY_AFTER_RESPONSE);
    }

    @Test
    void responseReadLateConfirmsTheValueOnlyUpToTheEndOfTheWait() {
        WatchState state = new WatchState(clock);
        long requestedNanos = clock.nowNanos();
        clock.advance(Duration.ofMinutes(5));

        state.recordUnchanged(requestedNanos, WAIT);

        assertThat(state.confirmedNanos()).isEqualTo(requestedNanos + WAIT.toNanos());
    }

    @Test
    void earlyResponseConfirmsTheValueAtTheTimeOfTheRequest() {
        WatchState state = new WatchState(clock);
        long requestedNanos = clock.nowNanos();
        clock.advance(Duration.ofSeconds(1));

        state.recordUnchanged(requestedNanos, WAIT);

        assertThat(state.confirmedNanos()).isEqualTo(requestedNanos);
    }

    @Test
    void lowerRevisionIsReportedAndWatchContinuesFromIt() {
        WatchState state = new WatchState(clock);
        state.recordValue(new PlatformValue(9, ""), clock.nowNanos());
        clock.advance(WatchState.MIN_UNCONDITIONAL_READ_INTERVAL);
        assertThat(state.nextRevision()).isZero();

        state.recordValue(new PlatformValue(2, ""), clock.nowNanos());

        assertThat(state.isRegressed()).isTrue();
        assertThat(state.nextRevision()).isEqualTo(2);
    }

    @Test
    void periodicReadsOfLargeValueStayWithinTheirBytes() {
        WatchState state = new WatchState(clock);
        int bytes = 60 * WatchState.MAX_UNCONDITIONAL_READ_BYTES_PER_SECOND;
        state.recordValue(new PlatformValue(9, "x".repeat(bytes)), clock.nowNanos());

        clock.advance(Duration.ofSeconds(59));
        assertThat(state.nextRevision()).isEqualTo(9);
        clock.advance(Duration.ofSeconds(1));
        assertThat(state.nextRevision()).isZero();
    }

    @Test
    void failedUnconditionalReadIsRepeated() {
        WatchState state = new WatchState(clock);
        state.recordValue(new PlatformValue(9, ""), clock.nowNanos());
        clock.advance(WatchState.MIN_UNCONDITIONAL_READ_INTERVAL);
        assertThat(state.nextRevision()).isZero();

        state.recordFailure();

        assertThat(state.nextRevision()).isZero();
    }
}
