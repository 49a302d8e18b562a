package org.turmericspan.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Waiting wishes of one party, which takes turns with other parties of its level.
 *
 * @param <W> what the owner parks with a wish
 */
abstract class FlowQueue<W> {
    private final long sequence;
    private long turn;

    FlowQueue(long sequence, long turn) {
        this.sequence = sequence;
        this.turn = turn;
    }

    final long turn() {
        return turn;
    }

    final void setTurn(long newTurn) {
        turn = newTurn;
    }

    /** Counts the waiting wishes. */
    abstract int size();

    /** Returns the wish to serve next; the line is not empty. */
    abstract QueueEntry<W> first();

    /** Returns the wish to shed first; the line is not empty. */
    abstract QueueEntry<W> last();

    /** Finds the first wish in order that is accepted. */
    abstract Optional<QueueEntry<W>> find(Predicate<QueueEntry<W>> accepts);

    abstract void add(QueueEntry<W> ticket);

    /** Removes a wish that got its slot, which uses up a turn. */
    abstract void serve(QueueEntry<W> ticket);

    /** Removes a wish that got no slot. */
    abstract void withdraw(QueueEntry<W> ticket);

    /** Orders lines by turn, then by the rank of their first wishes. */
    static <W> Comparator<FlowQueue<W>> byTurn() {
        return Comparator.<FlowQueue<W>>comparingLong(line -> line.turn)
                .thenComparing(FlowQueue::first, QueueEntry.byRank())
                .thenComparingLong(line -> line.sequence);
    }

    /** Orders lines by the number of their wishes. */
    static <W> Comparator<FlowQueue<W>> bySize() {
        return Comparator.<FlowQueue<W>>comparingInt(FlowQueue::size).thenComparingLong(line -> line.sequence);
    }
}
