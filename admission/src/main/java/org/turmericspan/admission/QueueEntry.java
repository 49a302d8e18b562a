package org.turmericspan.admission;

import java.time.Duration;
import java.util.Comparator;
import org.turmericspan.calls.SlotRequest;

/**
 * Entry of one slot request in a {@link FairQueue}, by which the request is removed from the queue.
 *
 * @param <W> type of the attachment that is kept with the request
 */
public final class QueueEntry<W> {
    /** Bonus in age for each call above the request, because the work of those calls is already spent. */
    static final Duration DEPTH_BONUS = Duration.ofMillis(20);

    private final SlotRequest request;
    private final W attachment;
    private final long enqueuedNanos;
    private final long priorityNanos;
    private final long sequence;

    QueueEntry(SlotRequest request, W attachment, long enqueuedNanos, long sequence) {
        this.request = request;
        this.attachment = attachment;
        this.enqueuedNanos = enqueuedNanos;
        this.priorityNanos = enqueuedNanos - request.depth() * DEPTH_BONUS.toNanos();
        this.sequence = sequence;
    }

    /**
     * Returns the slot request.
     *
     * @return the request
     */
    public SlotRequest request() {
        return request;
    }

    /**
     * Returns the attachment that was passed when the request was offered.
     *
     * @return the attachment
     */
    public W attachment() {
        return attachment;
    }

    /**
     * Returns when the request was queued.
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
    static <W> Comparator<QueueEntry<W>> byPriority() {
        return Comparator.<QueueEntry<W>>comparingLong(entry -> entry.priorityNanos)
                .thenComparingLong(entry -> entry.sequence);
    }

    /** Orders entries by the deadlines of their requests, the earliest first. */
    static <W> Comparator<QueueEntry<W>> byDeadline() {
        return Comparator.<QueueEntry<W>>comparingLong(entry -> entry.request.deadlineNanos())
                .thenComparingLong(entry -> entry.sequence);
    }
}
