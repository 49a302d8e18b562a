package org.turmericspan.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Lines that take turns. A line that comes new joins the round after the one being served, so coming back again and
 * again gains nothing over waiting; a line that was passed over does not catch up.
 *
 * @param <K> names the parties
 * @param <W> what the owner parks with a wish
 * @param <L> line of one party
 */
final class RoundRobin<K, W, L extends FlowQueue<W>> {
    private final Map<K, L> lines = new HashMap<>();
    private final TreeSet<FlowQueue<W>> byTurn = new TreeSet<>(FlowQueue.byTurn());
    private final TreeSet<FlowQueue<W>> bySize = new TreeSet<>(FlowQueue.bySize());
    private final FlowQueueFactory<L> factory;
    private long servedTurn;
    private long nextSequence;

    RoundRobin(FlowQueueFactory<L> factory) {
        this.factory = factory;
    }

    Optional<L> line(K party) {
        return Optional.ofNullable(lines.get(party));
    }

    int sizeOf(K party) {
        L line = lines.get(party);
        return line == null ? 0 : line.size();
    }

    FlowQueue<W> first() {
        return byTurn.first();
    }

    FlowQueue<W> largest() {
        return bySize.last();
    }

    Optional<QueueEntry<W>> find(Predicate<QueueEntry<W>> accepts) {
        for (FlowQueue<W> line : byTurn) {
            Optional<QueueEntry<W>> found = line.find(accepts);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    void add(K party, QueueEntry<W> ticket) {
        L line = lines.get(party);
        if (line == null) {
            line = factory.create(nextSequence, servedTurn + 1);
            nextSequence++;
            lines.put(party, line);
        } else {
            detach(line);
        }
        line.add(ticket);
        attach(line);
    }

    void serve(K party, QueueEntry<W> ticket) {
        L line = lines.get(party);
        detach(line);
        line.serve(ticket);
        servedTurn = Math.max(servedTurn, line.turn());
        line.setTurn(servedTurn + 1);
        attachOrDrop(party, line);
    }

    void withdraw(K party, QueueEntry<W> ticket) {
        L line = lines.get(party);
        detach(line);
        line.withdraw(ticket);
        attachOrDrop(party, line);
    }

    /** Counts the wishes of the level served before one that has {@code before} wishes of its own line before it. */
    int aheadInRounds(K party, int before, int total) {
        long others = lines.containsKey(party) ? lines.size() - 1L : lines.size();
        long ahead = (before + 1L) * others + before;
        return (int) Math.min(total, ahead);
    }

    private void attachOrDrop(K party, L line) {
        if (line.size() == 0) {
            lines.remove(party);
        } else {
            attach(line);
        }
    }

    private void attach(L line) {
        byTurn.add(line);
        bySize.add(line);
    }

    private void detach(L line) {
        byTurn.remove(line);
        bySize.remove(line);
    }

    /**
     * Creates lines.
     *
     * @param <L> line of one party
     */
    @FunctionalInterface
    interface FlowQueueFactory<L> {
        /**
         * Creates an empty line.
         *
         * @param sequence number that no other line of the level has
         * @param turn its first turn
         * @return the line
         */
        L create(long sequence, long turn);
    }
}
