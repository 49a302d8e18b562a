package org.turmericspan.admission;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.ids.OfficeId;

/**
 * Bounded fair queue of the slot requests of one service, by each of which an attempt waits for a slot of an upstream.
 * "Request" means slot request throughout this package. Offices are served round robin, and so are the callers
 * within an office. Within one round the older request is served first, and a request deep in a chain of calls counts
 * as older than it is. Adding or removing a request takes logarithmic time; {@link #poll} also visits each request that
 * it passes over. The class is not thread-safe: its users guard it by a lock.
 *
 * @param <W> type of the attachment that is kept with each request
 */
public final class FairQueue<W> {
    private final int maxRequests;
    private final RoundRobin<OfficeId, QueueEntry<W>, OfficeQueue<W>> offices =
            new RoundRobin<>(OfficeQueue::new, QueueEntry.byAdjustedAge());
    private final TreeSet<QueueEntry<W>> byDeadline = new TreeSet<>(QueueEntry.byDeadline());
    private final Set<QueueEntry<W>> byArrival = new LinkedHashSet<>();
    private long nextSequence;

    /**
     * Creates an empty queue.
     *
     * @param maxRequests largest number of queued requests
     */
    public FairQueue(int maxRequests) {
        this.maxRequests = maxRequests;
    }

    /**
     * Queues a request. When the queue is full, the last request in service order of the largest caller in the largest
     * office may be evicted: for a request of an office with at least two requests fewer, and within the office for a
     * request of a caller with at least two requests fewer or for one that is deeper in its chain of calls.
     *
     * @param request request to queue
     * @param attachment object that {@link QueueEntry#attachment} returns
     * @param nowNanos current monotonic time
     * @return the entry of the request and the evicted entry, if any; or that the queue is full
     */
    public OfferResult<W> offer(SlotRequest request, W attachment, long nowNanos) {
        Optional<QueueEntry<W>> evicted = Optional.empty();
        if (byArrival.size() >= maxRequests) {
            evicted = findEvictable(request);
            if (evicted.isEmpty()) {
                return new OfferResult.Full<>();
            }
            remove(evicted.get());
        }
        QueueEntry<W> entry = new QueueEntry<>(request, attachment, nowNanos, nextSequence);
        nextSequence++;
        offices.add(request.office(), entry);
        byDeadline.add(entry);
        byArrival.add(entry);
        return new OfferResult.Queued<>(entry, evicted);
    }

    /**
     * Removes the next request that can be served. The removal counts as service of its office and caller in the
     * current round.
     *
     * @param accepts tests whether a request can be served now; requests that cannot are passed over and keep their
     *     places
     * @return the first accepted entry in service order, or empty
     */
    public Optional<QueueEntry<W>> poll(Predicate<QueueEntry<W>> accepts) {
        Optional<QueueEntry<W>> found = offices.find(accepts);
        found.ifPresent(entry -> {
            unindex(entry);
            offices.removeServed(entry.request().office(), entry);
        });
        return found;
    }

    /**
     * Removes a request that is not to be served any more. This does not count as service of its office and caller.
     *
     * @param entry entry of the request
     * @return false when the entry had already been polled, evicted, expired or removed
     */
    public boolean remove(QueueEntry<W> entry) {
        if (!byArrival.contains(entry)) {
            return false;
        }
        unindex(entry);
        offices.removeUnserved(entry.request().office(), entry);
        return true;
    }

    /**
     * Removes the requests whose deadline has been reached.
     *
     * @param nowNanos current monotonic time
     * @return the removed entries, the earliest deadline first
     */
    public List<QueueEntry<W>> expire(long nowNanos) {
        List<QueueEntry<W>> expired = new ArrayList<>();
        while (!byDeadline.isEmpty() && byDeadline.first().request().deadlineNanos() <= nowNanos) {
            QueueEntry<W> entry = byDeadline.first();
            remove(entry);
            expired.add(entry);
        }
        return expired;
    }

    /**
     * Returns the number of queued requests of all offices.
     *
     * @return number from 0 to the largest number of queued requests
     */
    public int size() {
        return byArrival.size();
    }

    /**
     * Returns when the oldest queued request was queued.
     *
     * @return monotonic time, or empty when no request is queued
     */
    public OptionalLong oldestEnqueuedNanos() {
        return byArrival.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(byArrival.iterator().next().enqueuedNanos());
    }

    /**
     * Returns the earliest deadline of the queued requests.
     *
     * @return monotonic time, or empty when no request is queued
     */
    public OptionalLong nextDeadlineNanos() {
        return byDeadline.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(byDeadline.first().request().deadlineNanos());
    }

    /**
     * Estimates how many queued requests are served before a new one. The estimate is high rather than low: it assumes
     * that every other office and caller has a request for each round until then. Ages and call depths are not
     * considered.
     *
     * @param request request that is not yet queued
     * @return number of requests ahead of it, at most the size of the queue
     */
    public int estimateAhead(SlotRequest request) {
        int aheadInOffice = offices.queue(request.office())
                .map(office -> office.estimateAhead(request.caller()))
                .orElse(0);
        return offices.estimateAhead(request.office(), aheadInOffice, size());
    }

    private Optional<QueueEntry<W>> findEvictable(SlotRequest request) {
        if (byArrival.isEmpty()) {
            return Optional.empty();
        }
        FlowQueue<QueueEntry<W>> largest = offices.largest();
        QueueEntry<W> candidate = largest.evictionCandidate();
        boolean isSmallerOffice = offices.sizeOf(request.office()) + 1 < largest.size();
        if (isSmallerOffice
                || candidate.request().office().equals(request.office()) && mayEvictWithinOffice(request, candidate)) {
            return Optional.of(candidate);
        }
        return Optional.empty();
    }

    private boolean mayEvictWithinOffice(SlotRequest request, QueueEntry<W> candidate) {
        OfficeQueue<W> office = offices.queue(request.office()).orElseThrow();
        boolean isSmallerCaller = office.sizeOf(request.caller()) + 1 < office.largestCallerSize();
        return isSmallerCaller || request.depth() > candidate.request().depth();
    }

    private void unindex(QueueEntry<W> entry) {
        byArrival.remove(entry);
        byDeadline.remove(entry);
    }
}
