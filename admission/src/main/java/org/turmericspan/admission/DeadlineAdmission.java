package org.turmericspan.admission;

import java.time.Duration;
import java.util.Optional;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.errors.ResultCode;

/** Refuses at once what could only wait in vain. The estimate is a hopeful one, so nothing is refused on a doubt. */
public final class DeadlineAdmission {
    private static final Duration SHORTEST_RETRY_AFTER = Duration.ofMillis(10);

    private DeadlineAdmission() {}

    /**
     * Decides whether a wish may wait.
     *
     * @param wishDeadlineNanos monotonic time after which the slot is of no use
     * @param nowNanos current monotonic time
     * @param ahead wishes that would be served before it
     * @param slots slots that serve the queue; 0 when none is expected
     * @param mean how long a request holds a slot, or empty when not known
     * @return the refusal, or empty when the wish may wait
     */
    public static Optional<SlotDecision.Denied> decide(
            long wishDeadlineNanos, long nowNanos, int ahead, int slots, Optional<Duration> mean) {
        long remainingNanos = wishDeadlineNanos - nowNanos;
        if (remainingNanos <= 0) {
            return Optional.of(new SlotDecision.Denied(ResultCode.DEADLINE_BEFORE_SEND, Optional.empty()));
        }
        if (slots <= 0) {
            return Optional.of(denied(ResultCode.NO_CAPACITY, mean.orElse(SHORTEST_RETRY_AFTER)));
        }
        if (mean.isEmpty()) {
            return Optional.empty();
        }
        Duration wait = expectedWait(ahead, slots, mean.get());
        boolean isInVain = wait.plus(mean.get()).toNanos() > remainingNanos;
        return isInVain ? Optional.of(denied(ResultCode.NO_CAPACITY, wait)) : Optional.empty();
    }

    /**
     * Builds the refusal of a wish for which the queue has no room.
     *
     * @param size wishes that wait
     * @param slots slots that serve the queue
     * @param mean how long a request holds a slot, or empty when not known
     * @return the refusal, with the time in which the queue would drain
     */
    public static SlotDecision.Denied queueFull(int size, int slots, Optional<Duration> mean) {
        return denied(ResultCode.QUEUE_FULL, expectedWait(size, Math.max(1, slots), mean.orElse(SHORTEST_RETRY_AFTER)));
    }

    private static Duration expectedWait(int ahead, int slots, Duration mean) {
        return mean.multipliedBy(ahead).dividedBy(slots);
    }

    private static SlotDecision.Denied denied(ResultCode code, Duration wait) {
        Duration retryAfter = wait.compareTo(SHORTEST_RETRY_AFTER) < 0 ? SHORTEST_RETRY_AFTER : wait;
        return new SlotDecision.Denied(code, Optional.of(retryAfter));
    }
}
