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
 * Bounded fair queue of the slot requests of one service. Offices are served round robin, and so are the callers
 * within an office. Within one round the older request is served first, and a request deep in a chain of calls counts
 * as older. Every operation takes logarithmic time, except for the requests that {@link #poll} passes over. The class
 * is not thread-safe: its users guard it by a lock.
 *
 * @param <W> type of the attachment that is kept with each request
 */
public final class FairQueue<W> {
    private final int maxRequests;
    private final RoundRobin<OfficeId, W, OfficeQueue<W>> offices = new RoundRobin<>(OfficeQueue::new);
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
     * Queues a request. When the queue is full, the last request of the largest flow queue is evicted for a request of
     * a smaller flow, or for one of the same office with a greater call depth.
     *
     * @param request request to queue
     * @param attachment object that is kept with the request
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
     * Removes the next request to serve.
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
     * Removes a request that is no longer needed.
     *
     * @param entry entry of the request
     * @return false when the entry has already left the queue
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
     * Removes the requests whose deadline has passed.
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
     * Counts the queued requests.
     *
     * @return the number of requests
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
     * Counts the queued requests that would be served before a new one, by the round robin of offices and callers.
     *
     * @param request request that is not yet queued
     * @return number of requests ahead of it
     */
    public int aheadOf(SlotRequest request) {
        int aheadInOffice = offices.queue(request.office())
                .map(office -> office.aheadOf(request.caller()))
                .orElse(0);
        return offices.countAhead(request.office(), aheadInOffice, size());
    }

    private Optional<QueueEntry<W>> findEvictable(SlotRequest request) {
        if (byArrival.isEmpty()) {
            return Optional.empty();
        }
        FlowQueue<W> largest = offices.largest();
        QueueEntry<W> last = largest.last();
        boolean isSmallerOffice = offices.sizeOf(request.office()) + 1 < largest.size();
        if (isSmallerOffice || last.request().office().equals(request.office()) && outranks(request, last)) {
            return Optional.of(last);
        }
        return Optional.empty();
    }

    private boolean outranks(SlotRequest request, QueueEntry<W> last) {
        OfficeQueue<W> office = offices.queue(request.office()).orElseThrow();
        boolean isSmallerCaller = office.sizeOf(request.caller()) + 1 < office.largestCallerSize();
        return isSmallerCaller || request.depth() > last.request().depth();
    }

    private void unindex(QueueEntry<W> entry) {
        byArrival.remove(entry);
        byDeadline.remove(entry);
    }
}
