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
final class Rounds<K, W, L extends Line<W>> {
    private final Map<K, L> lines = new HashMap<>();
    private final TreeSet<Line<W>> byTurn = new TreeSet<>(Line.byTurn());
    private final TreeSet<Line<W>> bySize = new TreeSet<>(Line.bySize());
    private final LineFactory<L> factory;
    private long servedTurn;
    private long nextSequence;

    Rounds(LineFactory<L> factory) {
        this.factory = factory;
    }

    Optional<L> line(K party) {
        return Optional.ofNullable(lines.get(party));
    }

    int sizeOf(K party) {
        L line = lines.get(party);
        return line == null ? 0 : line.size();
    }

    Line<W> first() {
        return byTurn.first();
    }

    Line<W> largest() {
        return bySize.last();
    }

    Optional<WaitTicket<W>> find(Predicate<WaitTicket<W>> accepts) {
        for (Line<W> line : byTurn) {
            Optional<WaitTicket<W>> found = line.find(accepts);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    void add(K party, WaitTicket<W> ticket) {
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

    void serve(K party, WaitTicket<W> ticket) {
        L line = lines.get(party);
        detach(line);
        line.serve(ticket);
        servedTurn = Math.max(servedTurn, line.turn());
        line.setTurn(servedTurn + 1);
        attachOrDrop(party, line);
    }

    void withdraw(K party, WaitTicket<W> ticket) {
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
    interface LineFactory<L> {
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
