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
 * Bounded queue of the wishes of one service that wait for a slot. Offices take turns, and within an office its
 * callers; within one turn the older wish goes first, and a wish deep in a chain of calls counts as older. Every
 * operation takes logarithmic time, but for wishes that {@link #poll} passes over. The queue has no lock: its owner
 * guards it.
 *
 * @param <W> what the owner parks with a wish
 */
public final class FairQueue<W> {
    private final int limit;
    private final RoundRobin<OfficeId, W, OfficeQueue<W>> offices = new RoundRobin<>(OfficeQueue::new);
    private final TreeSet<QueueEntry<W>> byDeadline = new TreeSet<>(QueueEntry.byDeadline());
    private final Set<QueueEntry<W>> byArrival = new LinkedHashSet<>();
    private long nextSequence;

    /**
     * Creates an empty queue.
     *
     * @param limit largest number of waiting wishes
     */
    public FairQueue(int limit) {
        this.limit = limit;
    }

    /**
     * Queues a wish. When the queue is full, the newest wish of the largest line makes room for one of a smaller line,
     * or for a deeper one of the same office.
     *
     * @param request what is wished for
     * @param waiter what is parked with it
     * @param nowNanos current monotonic time
     * @return its place and what was displaced, or that the queue is full
     */
    public OfferResult<W> offer(SlotRequest request, W waiter, long nowNanos) {
        Optional<QueueEntry<W>> displaced = Optional.empty();
        if (byArrival.size() >= limit) {
            displaced = victim(request);
            if (displaced.isEmpty()) {
                return new OfferResult.Full<>();
            }
            remove(displaced.get());
        }
        QueueEntry<W> ticket = new QueueEntry<>(request, waiter, nowNanos, nextSequence);
        nextSequence++;
        offices.add(request.office(), ticket);
        byDeadline.add(ticket);
        byArrival.add(ticket);
        return new OfferResult.Queued<>(ticket, displaced);
    }

    /**
     * Takes out the next wish.
     *
     * @param accepts whether a wish can be served now; wishes that cannot are passed over and keep their places
     * @return the first accepted wish in order, or empty
     */
    public Optional<QueueEntry<W>> poll(Predicate<QueueEntry<W>> accepts) {
        Optional<QueueEntry<W>> found = offices.find(accepts);
        found.ifPresent(ticket -> {
            forget(ticket);
            offices.serve(ticket.wish().office(), ticket);
        });
        return found;
    }

    /**
     * Removes a wish that is no longer wanted.
     *
     * @param ticket its place
     * @return false when it had left the queue before
     */
    public boolean remove(QueueEntry<W> ticket) {
        if (!byArrival.contains(ticket)) {
            return false;
        }
        forget(ticket);
        offices.withdraw(ticket.wish().office(), ticket);
        return true;
    }

    /**
     * Removes the wishes whose deadline has passed.
     *
     * @param nowNanos current monotonic time
     * @return the removed wishes, the earliest deadline first
     */
    public List<QueueEntry<W>> expire(long nowNanos) {
        List<QueueEntry<W>> expired = new ArrayList<>();
        while (!byDeadline.isEmpty() && byDeadline.first().wish().deadlineNanos() <= nowNanos) {
            QueueEntry<W> ticket = byDeadline.first();
            remove(ticket);
            expired.add(ticket);
        }
        return expired;
    }

    /**
     * Counts the waiting wishes.
     *
     * @return the size
     */
    public int size() {
        return byArrival.size();
    }

    /**
     * Tells since when the longest waiting wish waits.
     *
     * @return monotonic time, or empty when none waits
     */
    public OptionalLong oldestEnqueuedNanos() {
        return byArrival.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(byArrival.iterator().next().enqueuedNanos());
    }

    /**
     * Tells when the next deadline passes.
     *
     * @return monotonic time, or empty when none waits
     */
    public OptionalLong nextDeadlineNanos() {
        return byDeadline.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(byDeadline.first().wish().deadlineNanos());
    }

    /**
     * Counts the waiting wishes that would be served before a new one, by the turns of offices and callers.
     *
     * @param request a wish that is not yet queued
     * @return number of wishes ahead of it
     */
    public int aheadOf(SlotRequest request) {
        int aheadInOffice = offices.line(request.office())
                .map(office -> office.aheadOf(request.caller()))
                .orElse(0);
        return offices.aheadInRounds(request.office(), aheadInOffice, size());
    }

    private Optional<QueueEntry<W>> victim(SlotRequest request) {
        if (byArrival.isEmpty()) {
            return Optional.empty();
        }
        FlowQueue<W> largest = offices.largest();
        QueueEntry<W> last = largest.last();
        boolean isSmallerOffice = offices.sizeOf(request.office()) + 1 < largest.size();
        if (isSmallerOffice || last.wish().office().equals(request.office()) && outranks(request, last)) {
            return Optional.of(last);
        }
        return Optional.empty();
    }

    private boolean outranks(SlotRequest request, QueueEntry<W> last) {
        OfficeQueue<W> office = offices.line(request.office()).orElseThrow();
        boolean isSmallerCaller = office.sizeOf(request.caller()) + 1 < office.largestCallerSize();
        return isSmallerCaller || request.depth() > last.wish().depth();
    }

    private void forget(QueueEntry<W> ticket) {
        byArrival.remove(ticket);
        byDeadline.remove(ticket);
    }
}
