package org.turmericspan.publication;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ManualClock;

/** How often a node reads the platform, and what its answers confirm. */
final class ReadPaceTest {
    private static final Duration WAIT = Duration.ofSeconds(10);

    private final ManualClock clock = new ManualClock();

    @Test
    void readsBeyondTheBurstComeOneASecond() {
        ReadBudget budget = new ReadBudget(clock);
        for (int i = 0; i < 4; i++) {
            assertThat(budget.take()).isZero();
        }

        assertThat(budget.take()).isEqualTo(Duration.ofSeconds(1));
        assertThat(budget.take()).isEqualTo(Duration.ofSeconds(2));
    }

    @Test
    void failuresSpreadTheReadsOverTheWholeBackoff() {
        ReadBackoff backoff = new ReadBackoff(new SplittableRandom(7));
        for (int i = 0; i < 20; i++) {
            backoff.afterFailure();
        }
        Duration sum = Duration.ZERO;
        for (int i = 0; i < 1_000; i++) {
            sum = sum.plus(backoff.afterFailure());
        }

        assertThat(sum.dividedBy(1_000)).isBetween(Duration.ofMillis(4_500), Duration.ofMillis(5_500));
        assertThat(backoff.afterAnswer()).isLessThanOrEqualTo(ReadBackoff.PAUSE);
    }

    @Test
    void answerReadLateConfirmsNoMoreThanTheWait() {
        WatchState state = new WatchState(clock);
        long askedNanos = clock.nowNanos();
        clock.advance(Duration.ofMinutes(5));

        state.noNews(askedNanos, WAIT);

        assertThat(state.confirmedNanos()).isEqualTo(askedNanos + WAIT.toNanos());
    }

    @Test
    void earlyAnswerConfirmsTheTimeOfTheQuestion() {
        WatchState state = new WatchState(clock);
        long askedNanos = clock.nowNanos();
        clock.advance(Duration.ofSeconds(1));

        state.noNews(askedNanos, WAIT);

        assertThat(state.confirmedNanos()).isEqualTo(askedNanos);
    }

    @Test
    void lowerRevisionIsReportedAndWatchedFromThere() {
        WatchState state = new WatchState(clock);
        state.value(new PlatformValue(9, ""), clock.nowNanos());
        clock.advance(WatchState.WHOLE_READ_PERIOD);
        assertThat(state.nextRevision()).isZero();

        state.value(new PlatformValue(2, ""), clock.nowNanos());

        assertThat(state.isRegressed()).isTrue();
        assertThat(state.nextRevision()).isEqualTo(2);
    }
}
