package org.turmericspan.admission;

import java.time.Duration;
import java.util.Comparator;
import org.turmericspan.calls.SlotRequest;

/**
 * Place of one waiting wish in a {@link FairQueue}; also the handle by which it is removed.
 *
 * @param <W> what the owner parks with the wish
 */
public final class QueueEntry<W> {
    /** Span by which a wish counts as older for each call above it, whose cost is already paid. */
    static final Duration DEPTH_CREDIT = Duration.ofMillis(20);

    private final SlotRequest request;
    private final W waiter;
    private final long enqueuedNanos;
    private final long rankNanos;
    private final long sequence;

    QueueEntry(SlotRequest request, W waiter, long enqueuedNanos, long sequence) {
        this.request = request;
        this.waiter = waiter;
        this.enqueuedNanos = enqueuedNanos;
        this.rankNanos = enqueuedNanos - request.depth() * DEPTH_CREDIT.toNanos();
        this.sequence = sequence;
    }

    /**
     * Returns what is wished for.
     *
     * @return the wish
     */
    public SlotRequest wish() {
        return request;
    }

    /**
     * Returns what the owner parked with the wish.
     *
     * @return the parked state
     */
    public W waiter() {
        return waiter;
    }

    /**
     * Returns when the wish was queued.
     *
     * @return monotonic time
     */
    public long enqueuedNanos() {
        return enqueuedNanos;
    }

    long sequence() {
        return sequence;
    }

    /** Orders tickets by age, with credit for depth. */
    static <W> Comparator<QueueEntry<W>> byRank() {
        return Comparator.<QueueEntry<W>>comparingLong(ticket -> ticket.rankNanos)
                .thenComparingLong(ticket -> ticket.sequence);
    }

    /** Orders tickets by the deadline of their wishes. */
    static <W> Comparator<QueueEntry<W>> byDeadline() {
        return Comparator.<QueueEntry<W>>comparingLong(ticket -> ticket.request.deadlineNanos())
                .thenComparingLong(ticket -> ticket.sequence);
    }
}
