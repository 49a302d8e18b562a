package org.turmericspan.admission;

import java.util.Optional;
import java.util.function.Predicate;
import org.turmericspan.ids.CallerId;

/**
 * Flow queue of one office, whose callers are served round robin.
 *
 * @param <W> type of the attachment that is kept with each request
 */
final class OfficeQueue<W> extends FlowQueue<QueueEntry<W>> {
    private final RoundRobin<CallerId, QueueEntry<W>, OrderedQueue<QueueEntry<W>>> callers = new RoundRobin<>(
            (sequence, round) -> new OrderedQueue<>(sequence, round, QueueEntry.byAdjustedAge()),
            QueueEntry.byAdjustedAge());
    private int size;

    OfficeQueue(long sequence, long round) {
        super(sequence, round);
    }

    @Override
    int size() {
        return size;
    }

    @Override
    QueueEntry<W> first() {
        return callers.first().first();
    }

    @Override
    QueueEntry<W> evictionCandidate() {
        return callers.largest().evictionCandidate();
    }

    @Override
    Optional<QueueEntry<W>> find(Predicate<QueueEntry<W>> accepts) {
        return callers.find(accepts);
    }

    @Override
    void add(QueueEntry<W> entry) {
        callers.add(entry.request().caller(), entry);
        size++;
    }

    @Override
    void removeServed(QueueEntry<W> entry) {
        callers.removeServed(entry.request().caller(), entry);
        size--;
    }

    @Override
    void removeUnserved(QueueEntry<W> entry) {
        callers.removeUnserved(entry.request().caller(), entry);
        size--;
    }

    int sizeOf(CallerId caller) {
        return callers.sizeOf(caller);
    }

    int largestCallerSize() {
        return callers.largest().size();
    }

    /** Estimates how many requests of this office are served before a new one of the caller, rather high than low. */
    int estimateAhead(CallerId caller) {
        return callers.estimateAhead(caller, callers.sizeOf(caller), size);
    }
}
