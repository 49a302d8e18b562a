package org.turmericspan.admission;

import java.util.Optional;
import java.util.function.Predicate;
import org.turmericspan.ids.CallerId;

/**
 * Waiting wishes of one office, whose callers take turns.
 *
 * @param <W> what the owner parks with a wish
 */
final class OfficeQueue<W> extends FlowQueue<W> {
    private final RoundRobin<CallerId, W, CallerQueue<W>> callers = new RoundRobin<>(CallerQueue::new);
    private int size;

    OfficeQueue(long sequence, long turn) {
        super(sequence, turn);
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
    QueueEntry<W> last() {
        return callers.largest().last();
    }

    @Override
    Optional<QueueEntry<W>> find(Predicate<QueueEntry<W>> accepts) {
        return callers.find(accepts);
    }

    @Override
    void add(QueueEntry<W> ticket) {
        callers.add(ticket.wish().caller(), ticket);
        size++;
    }

    @Override
    void serve(QueueEntry<W> ticket) {
        callers.serve(ticket.wish().caller(), ticket);
        size--;
    }

    @Override
    void withdraw(QueueEntry<W> ticket) {
        callers.withdraw(ticket.wish().caller(), ticket);
        size--;
    }

    int sizeOf(CallerId caller) {
        return callers.sizeOf(caller);
    }

    int largestCallerSize() {
        return callers.largest().size();
    }

    /** Counts the wishes of this office that would go before a new one of the caller. */
    int aheadOf(CallerId caller) {
        return callers.aheadInRounds(caller, callers.sizeOf(caller), size);
    }
}
