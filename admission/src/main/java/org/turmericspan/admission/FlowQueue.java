package org.turmericspan.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queue of the slot requests of one flow. A flow is an office, or a caller within its office; the flows of one level
 * are served round robin.
 *
 * @param <W> type of the attachment that is kept with each request
 */
abstract class FlowQueue<W> {
    private final long sequence;
    private long round;

    FlowQueue(long sequence, long round) {
        this.sequence = sequence;
        this.round = round;
    }

    /** Returns the earliest round in which the flow may be served next. */
    final long round() {
        return round;
    }

    final void setRound(long newRound) {
        round = newRound;
    }

    /** Returns the number of queued requests; for an office, those of all its callers. */
    abstract int size();

    /** Returns the entry to serve next; the queue must not be empty. */
    abstract QueueEntry<W> first();

    /** Returns the entry to evict when the fair queue is full; the queue must not be empty. */
    abstract QueueEntry<W> evictionCandidate();

    /** Finds the first entry in service order that is accepted, and leaves it in the queue. */
    abstract Optional<QueueEntry<W>> find(Predicate<QueueEntry<W>> accepts);

    abstract void add(QueueEntry<W> entry);

    /** Removes an entry whose request was granted a slot, which counts as service in the current round. */
    abstract void removeServed(QueueEntry<W> entry);

    /** Removes an entry whose request was not granted a slot. */
    abstract void removeUnserved(QueueEntry<W> entry);

    /** Orders queues by the round in which they are served next, then by the ages of their first entries. */
    static <W> Comparator<FlowQueue<W>> byRound() {
        return Comparator.<FlowQueue<W>>comparingLong(queue -> queue.round)
                .thenComparing(FlowQueue::first, QueueEntry.byAdjustedAge())
                .thenComparingLong(queue -> queue.sequence);
    }

    /** Orders queues by the number of their requests, the smallest first. */
    static <W> Comparator<FlowQueue<W>> bySize() {
        return Comparator.<FlowQueue<W>>comparingInt(FlowQueue::size).thenComparingLong(queue -> queue.sequence);
    }
}
