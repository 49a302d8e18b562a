package org.turmericspan.admission;

import java.util.Optional;
import java.util.function.Predicate;
import org.turmericspan.ids.CallerId;

/**
 * Waiting wishes of one office, whose callers take turns.
 *
 * @param <W> what the owner parks with a wish
 */
final class OfficeLine<W> extends Line<W> {
    private final Rounds<CallerId, W, CallerLine<W>> callers = new Rounds<>(CallerLine::new);
    private int size;

    OfficeLine(long sequence, long turn) {
        super(sequence, turn);
    }

    @Override
    int size() {
        return size;
    }

    @Override
    WaitTicket<W> first() {
        return callers.first().first();
    }

    @Override
    WaitTicket<W> last() {
        return callers.largest().last();
    }

    @Override
    Optional<WaitTicket<W>> find(Predicate<WaitTicket<W>> accepts) {
        return callers.find(accepts);
    }

    @Override
    void add(WaitTicket<W> ticket) {
        callers.add(ticket.wish().caller(), ticket);
        size++;
    }

    @Override
    void serve(WaitTicket<W> ticket) {
        callers.serve(ticket.wish().caller(), ticket);
        size--;
    }

    @Override
    void withdraw(WaitTicket<W> ticket) {
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
