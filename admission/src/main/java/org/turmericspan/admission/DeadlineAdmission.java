package org.turmericspan.admission;

import java.time.Duration;
import java.util.Optional;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.errors.ResultCode;

/**
 * Deadline admission control: denies at once a slot request that is expected to miss its deadline in the queue. The
 * expected wait is the time in which the slots serve the requests ahead, each for the mean hold time. The estimate
 * is optimistic, so that no request is denied in case of doubt: requests that may arrive later and be served earlier
 * are not counted.
 */
public final class DeadlineAdmission {
    /** Shortest retry time of a denial; also the hold time that is assumed while the mean is unknown. */
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(10);

    private DeadlineAdmission() {}

    /**
     * Decides whether a request may wait in the queue.
     *
     * @param deadlineNanos monotonic time after which the slot is of no use
     * @param nowNanos current monotonic time
     * @param requestsAhead number of queued requests that are expected to be served before this one
     * @param slots number of slots that are granted to requests of the queue; 0 when none is expected
     * @param meanHoldTime mean time for which a request holds a slot, or empty when it is unknown
     * @return the denial, or empty when the request may wait
     */
    public static Optional<SlotDecision.Denied> decide(
            long deadlineNanos, long nowNanos, int requestsAhead, int slots, Optional<Duration> meanHoldTime) {
        long remainingNanos = deadlineNanos - nowNanos;
        if (remainingNanos <= 0) {
            return Optional.of(new SlotDecision.Denied(ResultCode.DEADLINE_BEFORE_SEND, Optional.empty()));
        }
        if (slots <= 0) {
            return Optional.of(denied(ResultCode.NO_CAPACITY, meanHoldTime.orElse(MIN_RETRY_AFTER)));
        }
        if (meanHoldTime.isEmpty()) {
            return Optional.empty();
        }
        Duration wait = expectedWait(requestsAhead, slots, meanHoldTime.get());
        boolean missesDeadline = wait.plus(meanHoldTime.get()).toNanos() > remainingNanos;
        return missesDeadline ? Optional.of(denied(ResultCode.NO_CAPACITY, wait)) : Optional.empty();
    }

    /**
     * Builds the denial of a request for which the queue has no capacity.
     *
     * @param queueSize number of queued requests
     * @param slots number of slots that are granted to requests of the queue; 0 counts as 1
     * @param meanHoldTime mean time for which a request holds a slot, or empty when it is unknown
     * @return the denial, to be retried after the time in which the queued requests are expected to be served
     */
    public static SlotDecision.Denied queueFull(int queueSize, int slots, Optional<Duration> meanHoldTime) {
        return denied(
                ResultCode.QUEUE_FULL,
                expectedWait(queueSize, Math.max(1, slots), meanHoldTime.orElse(MIN_RETRY_AFTER)));
    }

    private static Duration expectedWait(int requestsAhead, int slots, Duration meanHoldTime) {
        return meanHoldTime.multipliedBy(requestsAhead).dividedBy(slots);
    }

    private static SlotDecision.Denied denied(ResultCode code, Duration wait) {
        Duration retryAfter = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
        return new SlotDecision.Denied(code, Optional.of(retryAfter));
    }
}
