package org.turmericspan.admission;

import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Waiting wishes of one caller, in the order of age with credit for depth.
 *
 * @param <W> what the owner parks with a wish
 */
final class CallerLine<W> extends Line<W> {
    private final TreeSet<WaitTicket<W>> tickets = new TreeSet<>(WaitTicket.byRank());

    CallerLine(long sequence, long turn) {
        super(sequence, turn);
    }

    @Override
    int size() {
        return tickets.size();
    }

    @Override
    WaitTicket<W> first() {
        return tickets.first();
    }

    @Override
    WaitTicket<W> last() {
        return tickets.last();
    }

    @Override
    Optional<WaitTicket<W>> find(Predicate<WaitTicket<W>> accepts) {
        for (WaitTicket<W> ticket : tickets) {
            if (accepts.test(ticket)) {
                return Optional.of(ticket);
            }
        }
        return Optional.empty();
    }

    @Override
    void add(WaitTicket<W> ticket) {
        tickets.add(ticket);
    }

    @Override
    void serve(WaitTicket<W> ticket) {
        tickets.remove(ticket);
    }

    @Override
    void withdraw(WaitTicket<W> ticket) {
        tickets.remove(ticket);
    }
}
