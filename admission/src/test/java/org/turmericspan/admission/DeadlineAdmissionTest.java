package org.turmericspan.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.errors.ResultCode;

/** Tests which requests are denied before they are queued, and the retry time of the denial. */
final class DeadlineAdmissionTest {
    private static final Optional<Duration> MEAN_HOLD_TIME = Optional.of(Duration.ofMillis(10));
    private static final long DEADLINE_NANOS = Duration.ofMillis(50).toNanos();

    @Test
    void requestIsDeniedWhenItsDeadlineHasPassed() {
        assertThat(DeadlineAdmission.decide(0, 1, 0, 3, MEAN_HOLD_TIME))
                .map(SlotDecision.Denied::code)
                .hasValue(ResultCode.DEADLINE_BEFORE_SEND);
    }

    @Test
    void requestThatCanMeetItsDeadlineMayWait() {
        assertThat(DeadlineAdmission.decide(DEADLINE_NANOS, 0, 12, 3, MEAN_HOLD_TIME))
                .isEmpty();
    }

    @Test
    void requestThatWouldMissItsDeadlineIsDeniedWithTheExpectedWait() {
        assertThat(DeadlineAdmission.decide(DEADLINE_NANOS, 0, 15, 3, MEAN_HOLD_TIME))
                .hasValue(new SlotDecision.Denied(ResultCode.NO_CAPACITY, Optional.of(Duration.ofMillis(50))));
    }

    @Test
    void requestMayWaitWhileTheMeanHoldTimeIsUnknown() {
        assertThat(DeadlineAdmission.decide(DEADLINE_NANOS, 0, 1_000, 3, Optional.empty()))
                .isEmpty();
    }

    @Test
    void requestIsDeniedWhenNoSlotIsExpected() {
        assertThat(DeadlineAdmission.decide(DEADLINE_NANOS, 0, 0, 0, MEAN_HOLD_TIME))
                .map(SlotDecision.Denied::code)
                .hasValue(ResultCode.NO_CAPACITY);
    }

    @Test
    void requestToAFullQueueIsDeniedWithTheTimeToServeTheQueue() {
        assertThat(DeadlineAdmission.queueFull(30, 3, MEAN_HOLD_TIME))
                .isEqualTo(new SlotDecision.Denied(ResultCode.QUEUE_FULL, Optional.of(Duration.ofMillis(100))));
    }

    @Test
    void averageMovesByASixteenthOfTheDifferenceToANewSample() {
        SlotHoldTimeAverage average = new SlotHoldTimeAverage();
        assertThat(average.mean()).isEmpty();
        average.record(Duration.ofMillis(16));
        average.record(Duration.ofMillis(32));

        assertThat(average.mean()).hasValue(Duration.ofMillis(17));
    }
}
