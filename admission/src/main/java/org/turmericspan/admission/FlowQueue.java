package org.turmericspan.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Queue of the requests of one flow. A flow is an office, a caller within its office, or all that share a key in a
 * waiting room; the flows of one level are served round robin.
 *
 * @param <E> type of the entries, one for each request
 */
abstract class FlowQueue<E> {
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
    abstract E first();

    /** Returns the entry to evict when the fair queue is full; the queue must not be empty. */
    abstract E evictionCandidate();

    /** Finds the first entry in service order that is accepted, and leaves it in the queue. */
    abstract Optional<E> find(Predicate<E> accepts);

    abstract void add(E entry);

    /** Removes an entry whose request was granted a slot, which counts as service in the current round. */
    abstract void removeServed(E entry);

    /** Removes an entry whose request was not granted a slot. */
    abstract void removeUnserved(E entry);

    /** Orders queues by the round in which they are served next, then by their first entries. */
    static <E> Comparator<FlowQueue<E>> byRound(Comparator<E> entryOrder) {
        return (one, other) -> {
            int order = Long.compare(one.round, other.round);
            if (order == 0) {
                order = entryOrder.compare(one.first(), other.first());
            }
            return order == 0 ? Long.compare(one.sequence, other.sequence) : order;
        };
    }

    /** Orders queues by the number of their requests, the smallest first. */
    static <E> Comparator<FlowQueue<E>> bySize() {
        return (one, other) -> {
            int order = Integer.compare(one.size(), other.size());
            return order == 0 ? Long.compare(one.sequence, other.sequence) : order;
        };
    }
}
