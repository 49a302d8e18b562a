package org.turmericspan.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.errors.ResultCode;

/** What is refused before it waits. */
final class DeadlineAdmissionTest {
    private static final Optional<Duration> TEN_MILLIS = Optional.of(Duration.ofMillis(10));
    private static final long DEADLINE_NANOS = Duration.ofMillis(50).toNanos();

    @Test
    void passedDeadlineIsRefused() {
        assertThat(DeadlineAdmission.decide(0, 1, 0, 3, TEN_MILLIS))
                .map(SlotDecision.Denied::code)
                .hasValue(ResultCode.DEADLINE_BEFORE_SEND);
    }

    @Test
    void wishThatCanMakeItsDeadlineMayWait() {
        assertThat(DeadlineAdmission.decide(DEADLINE_NANOS, 0, 12, 3, TEN_MILLIS))
                .isEmpty();
    }

    @Test
    void wishThatCannotMakeItsDeadlineIsRefusedWithTheExpectedWait() {
        assertThat(DeadlineAdmission.decide(DEADLINE_NANOS, 0, 15, 3, TEN_MILLIS))
                .hasValue(new SlotDecision.Denied(ResultCode.NO_CAPACITY, Optional.of(Duration.ofMillis(50))));
    }

    @Test
    void wishWaitsWhileServiceTimesAreNotKnown() {
        assertThat(DeadlineAdmission.decide(DEADLINE_NANOS, 0, 1_000, 3, Optional.empty()))
                .isEmpty();
    }

    @Test
    void wishIsRefusedWhenNoSlotIsExpected() {
        assertThat(DeadlineAdmission.decide(DEADLINE_NANOS, 0, 0, 0, TEN_MILLIS))
                .map(SlotDecision.Denied::code)
                .hasValue(ResultCode.NO_CAPACITY);
    }

    @Test
    void fullQueueIsRefusedWithTheTimeToDrainIt() {
        assertThat(DeadlineAdmission.queueFull(30, 3, TEN_MILLIS))
                .isEqualTo(new SlotDecision.Denied(ResultCode.QUEUE_FULL, Optional.of(Duration.ofMillis(100))));
    }

    @Test
    void averageFollowsRecentRequests() {
        SlotHoldTimeAverage times = new SlotHoldTimeAverage();
        assertThat(times.mean()).isEmpty();
        times.record(Duration.ofMillis(16));
        times.record(Duration.ofMillis(32));

        assertThat(times.mean()).hasValue(Duration.ofMillis(17));
    }
}
