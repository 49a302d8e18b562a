package org.turmericspan.admission;

import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Waiting wishes of one caller, in the order of age with credit for depth.
 *
 * @param <W> what the owner parks with a wish
 */
final class CallerQueue<W> extends FlowQueue<W> {
    private final TreeSet<QueueEntry<W>> tickets = new TreeSet<>(QueueEntry.byRank());

    CallerQueue(long sequence, long turn) {
        super(sequence, turn);
    }

    @Override
    int size() {
        return tickets.size();
    }

    @Override
    QueueEntry<W> first() {
        return tickets.first();
    }

    @Override
    QueueEntry<W> last() {
        return tickets.last();
    }

    @Override
    Optional<QueueEntry<W>> find(Predicate<QueueEntry<W>> accepts) {
        for (QueueEntry<W> ticket : tickets) {
            if (accepts.test(ticket)) {
                return Optional.of(ticket);
            }
        }
        return Optional.empty();
    }

    @Override
    void add(QueueEntry<W> ticket) {
        tickets.add(ticket);
    }

    @Override
    void serve(QueueEntry<W> ticket) {
        tickets.remove(ticket);
    }

    @Override
    void withdraw(QueueEntry<W> ticket) {
        tickets.remove(ticket);
    }
}
