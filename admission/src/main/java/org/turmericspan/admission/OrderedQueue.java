package org.turmericspan.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Flow queue of one caller or share: its requests in a fixed order.
 *
 * @param <E> type of the entries, one for each request
 */
final class OrderedQueue<E> extends FlowQueue<E> {
    private final TreeSet<E> entries;

    OrderedQueue(long sequence, long round, Comparator<E> order) {
        super(sequence, round);
        this.entries = new TreeSet<>(order);
    }

    /** Returns the number of entries that are served before another one of the flow. */
    int countBefore(E entry) {
        return entries.headSet(entry).size();
    }

    @Override
    int size() {
        return entries.size();
    }

    @Override
    E first() {
        return entries.first();
    }

    @Override
    E evictionCandidate() {
        return entries.last();
    }

    @Override
    Optional<E> find(Predicate<E> accepts) {
        for (E entry : entries) {
            if (accepts.test(entry)) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    @Override
    void add(E entry) {
        entries.add(entry);
    }

    @Override
    void removeServed(E entry) {
        entries.remove(entry);
    }

    @Override
    void removeUnserved(E entry) {
        entries.remove(entry);
    }
}
