package org.turmericspan.admission;

import java.time.Duration;
import java.util.Comparator;
import org.turmericspan.calls.SlotRequest;

/**
 * Entry of one slot request in a {@link FairQueue}; passed to {@link FairQueue#remove} to remove the request.
 *
 * @param <W> type of the attachment that is kept with the request
 */
public final class QueueEntry<W> {
    /** Added to the age of a request for each enclosing call in its chain, as work was already spent on that call. */
    static final Duration DEPTH_BONUS = Duration.ofMillis(20);

    private final SlotRequest request;
    private final W attachment;
    private final long enqueuedNanos;

    /** Time at which the request was queued, less the depth bonus. */
    private final long adjustedEnqueuedNanos;

    private final long sequence;

    QueueEntry(SlotRequest request, W attachment, long enqueuedNanos, long sequence) {
        this.request = request;
        this.attachment = attachment;
        this.enqueuedNanos = enqueuedNanos;
        this.adjustedEnqueuedNanos = enqueuedNanos - request.depth() * DEPTH_BONUS.toNanos();
        this.sequence = sequence;
    }

    /**
     * Returns the slot request that was passed to {@link FairQueue#offer}.
     *
     * @return the slot request
     */
    public SlotRequest request() {
        return request;
    }

    /**
     * Returns the object that was passed to {@link FairQueue#offer} with the slot request.
     *
     * @return the attachment
     */
    public W attachment() {
        return attachment;
    }

    /**
     * Returns when the request was queued, without the depth bonus.
     *
     * @return monotonic time in nanoseconds
     */
    public long enqueuedNanos() {
        return enqueuedNanos;
    }

    long sequence() {
        return sequence;
    }

    /** Orders entries by age, the oldest first, with the depth bonus added to the age. */
    static <W> Comparator<QueueEntry<W>> byAdjustedAge() {
        return Comparator.<QueueEntry<W>>comparingLong(entry -> entry.adjustedEnqueuedNanos)
                .thenComparingLong(entry -> entry.sequence);
    }

    /** Orders entries by the deadlines of their requests, the earliest first. */
    static <W> Comparator<QueueEntry<W>> byDeadline() {
        return Comparator.<QueueEntry<W>>comparingLong(entry -> entry.request.deadlineNanos())
                .thenComparingLong(entry -> entry.sequence);
    }
}
