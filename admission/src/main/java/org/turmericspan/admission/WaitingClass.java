package org.turmericspan.admission;

import java.util.Optional;
import java.util.TreeSet;

/**
 * The waiting requests of one priority. Those that can still start in time are served before the others; in each of
 * the two groups the share keys take turns, and within a share the request whose time in which to start ends first.
 *
 * @param <W> type of the attachment that is kept with each request
 */
final class WaitingClass<W> {
    private final RoundRobin<String, Waiter<W>, OrderedQueue<Waiter<W>>> inTime = newGroup();
    private final RoundRobin<String, Waiter<W>, OrderedQueue<Waiter<W>>> late = newGroup();
    private final TreeSet<Waiter<W>> byInTimeUntil = new TreeSet<>(Waiter.byInTimeUntil());
    private final TreeSet<Waiter<W>> lateByWaitUntil = new TreeSet<>(Waiter.byWaitUntil());

    private static <W> RoundRobin<String, Waiter<W>, OrderedQueue<Waiter<W>>> newGroup() {
        return new RoundRobin<>(
                (sequence, round) -> new OrderedQueue<>(sequence, round, Waiter.byInTimeUntil()),
                Waiter.byInTimeUntil());
    }

    int size() {
        return byInTimeUntil.size() + lateByWaitUntil.size();
    }

    boolean hasInTime() {
        return !byInTimeUntil.isEmpty();
    }

    /** Moves the requests that can no longer start in time behind those that can. */
    void update(long nowNanos) {
        while (!byInTimeUntil.isEmpty() && !byInTimeUntil.first().request().isInTime(nowNanos)) {
            Waiter<W> waiter = byInTimeUntil.pollFirst();
            inTime.removeUnserved(waiter.request().shareKey(), waiter);
            waiter.markLate();
            late.add(waiter.request().shareKey(), waiter);
            lateByWaitUntil.add(waiter);
        }
    }

    void add(Waiter<W> waiter) {
        group(waiter.isLate()).add(waiter.request().shareKey(), waiter);
        if (waiter.isLate()) {
            lateByWaitUntil.add(waiter);
        } else {
            byInTimeUntil.add(waiter);
        }
    }

    /** Removes a waiter; its share key has had its turn only if the request starts. */
    void remove(Waiter<W> waiter, boolean isStarted) {
        RoundRobin<String, Waiter<W>, OrderedQueue<Waiter<W>>> group = group(waiter.isLate());
        if (isStarted) {
            group.removeServed(waiter.request().shareKey(), waiter);
        } else {
            group.removeUnserved(waiter.request().shareKey(), waiter);
        }
        if (waiter.isLate()) {
            lateByWaitUntil.remove(waiter);
        } else {
            byInTimeUntil.remove(waiter);
        }
    }

    /** Returns the request to serve next; there must be one. */
    Waiter<W> first() {
        return group(inTime.isEmpty()).first().first();
    }

    /**
     * Returns the request with the most time in which to start, or if none can be in time, the one with the most time
     * left, if it is not the next one anyway.
     */
    Optional<Waiter<W>> freshest() {
        TreeSet<Waiter<W>> group = byInTimeUntil.isEmpty() ? lateByWaitUntil : byInTimeUntil;
        return group.last() == first() ? Optional.empty() : Optional.of(group.last());
    }

    /** Returns the last request in the order, of the share with the most requests; there must be one. */
    Waiter<W> last() {
        return group(!late.isEmpty()).largest().evictionCandidate();
    }

    /** Returns whether the last request yields its place to a new one. */
    boolean yieldsTo(Waiter<W> arriving) {
        Waiter<W> last = last();
        if (last.isLate() != arriving.isLate()) {
            return last.isLate();
        }
        RoundRobin<String, Waiter<W>, OrderedQueue<Waiter<W>>> group = group(last.isLate());
        String shareKey = arriving.request().shareKey();
        boolean isSmallerShare = group.sizeOf(shareKey) + 1 < group.largest().size();
        boolean precedesInShare = shareKey.equals(last.request().shareKey())
                && Waiter.<W>byInTimeUntil().compare(arriving, last) < 0;
        return isSmallerShare || precedesInShare;
    }

    /** Estimates how many requests of this priority are served before a new one, rather high than low. */
    int estimateAhead(Waiter<W> arriving) {
        String shareKey = arriving.request().shareKey();
        RoundRobin<String, Waiter<W>, OrderedQueue<Waiter<W>>> group = group(arriving.isLate());
        int aheadInShare =
                group.queue(shareKey).map(share -> share.countBefore(arriving)).orElse(0);
        int groupSize = arriving.isLate() ? lateByWaitUntil.size() : byInTimeUntil.size();
        int ahead = group.estimateAhead(shareKey, aheadInShare, groupSize);
        return arriving.isLate() ? byInTimeUntil.size() + ahead : ahead;
    }

    private RoundRobin<String, Waiter<W>, OrderedQueue<Waiter<W>>> group(boolean isLate) {
        return isLate ? late : inTime;
    }
}
