package org.turmericspan.admission;

import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Flow queue of one caller: its slot requests by age, the oldest first. A request deep in a chain of calls counts as
 * older than it is.
 *
 * @param <W> type of the attachment that is kept with each request
 */
final class CallerQueue<W> extends FlowQueue<W> {
    private final TreeSet<QueueEntry<W>> entries = new TreeSet<>(QueueEntry.byAdjustedAge());

    CallerQueue(long sequence, long round) {
        super(sequence, round);
    }

    @Override
    int size() {
        return entries.size();
    }

    @Override
    QueueEntry<W> first() {
        return entries.first();
    }

    @Override
    QueueEntry<W> evictionCandidate() {
        return entries.last();
    }

    @Override
    Optional<QueueEntry<W>> find(Predicate<QueueEntry<W>> accepts) {
        for (QueueEntry<W> entry : entries) {
            if (accepts.test(entry)) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    @Override
    void add(QueueEntry<W> entry) {
        entries.add(entry);
    }

    @Override
    void removeServed(QueueEntry<W> entry) {
        entries.remove(entry);
    }

    @Override
    void removeUnserved(QueueEntry<W> entry) {
        entries.remove(entry);
    }
}
