package org.turmericspan.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Flow queues that are served round robin, one request of each in a round. A new queue joins the round after the
 * current one, so that a flow whose queue is emptied and filled again and again gains nothing over one whose requests
 * stay queued. A queue that was not served in a round, since none of its requests was accepted, is not served more
 * often later.
 *
 * @param <K> key of a flow
 * @param <E> type of the entries, one for each request
 * @param <L> type of the flow queues
 */
final class RoundRobin<K, E, L extends FlowQueue<E>> {
    private final Map<K, L> queues = new HashMap<>();
    private final TreeSet<FlowQueue<E>> byRound;
    private final TreeSet<FlowQueue<E>> bySize = new TreeSet<>(FlowQueue.bySize());
    private final FlowQueueFactory<L> factory;
    private long currentRound;
    private long nextSequence;

    RoundRobin(FlowQueueFactory<L> factory, Comparator<E> entryOrder) {
        this.factory = factory;
        this.byRound = new TreeSet<>(FlowQueue.byRound(entryOrder));
    }

    Optional<L> queue(K flow) {
        return Optional.ofNullable(queues.get(flow));
    }

    int sizeOf(K flow) {
        L queue = queues.get(flow);
        return queue == null ? 0 : queue.size();
    }

    boolean isEmpty() {
        return queues.isEmpty();
    }

    FlowQueue<E> first() {
        return byRound.first();
    }

    FlowQueue<E> largest() {
        return bySize.last();
    }

    Optional<E> find(Predicate<E> accepts) {
        for (FlowQueue<E> queue : byRound) {
            Optional<E> found = queue.find(accepts);
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    void add(K flow, E entry) {
        L queue = queues.get(flow);
        if (queue == null) {
            queue = factory.create(nextSequence, currentRound + 1);
            nextSequence++;
            queues.put(flow, queue);
        } else {
            unindex(queue);
        }
        queue.add(entry);
        index(queue);
    }

    void removeServed(K flow, E entry) {
        L queue = queues.get(flow);
        unindex(queue);
        queue.removeServed(entry);
        currentRound = Math.max(currentRound, queue.round());
        queue.setRound(currentRound + 1);
        indexOrDrop(flow, queue);
    }

    void removeUnserved(K flow, E entry) {
        L queue = queues.get(flow);
        unindex(queue);
        queue.removeUnserved(entry);
        indexOrDrop(flow, queue);
    }

    /**
     * Estimates how many requests of all flows are served before a new one of a flow. Assumes that every other flow has
     * a request for each round until then, so that the estimate is high rather than low.
     *
     * @param flow key of the flow
     * @param aheadInFlow number of requests of the same flow that are served before
     * @param total number of queued requests of all flows, which limits the estimate
     * @return estimated number of requests
     */
    int estimateAhead(K flow, int aheadInFlow, int total) {
        long others = queues.containsKey(flow) ? queues.size() - 1L : queues.size();
        long ahead = (aheadInFlow + 1L) * others + aheadInFlow;
        return (int) Math.min(total, ahead);
    }

    private void indexOrDrop(K flow, L queue) {
        if (queue.size() == 0) {
            queues.remove(flow);
        } else {
            index(queue);
        }
    }

    private void index(L queue) {
        byRound.add(queue);
        bySize.add(queue);
    }

    private void unindex(L queue) {
        byRound.remove(queue);
        bySize.remove(queue);
    }

    /**
     * Constructor of the flow queues of one level.
     *
     * @param <L> type of the flow queues
     */
    @FunctionalInterface
    interface FlowQueueFactory<L> {
        /**
         * Creates an empty queue.
         *
         * @param sequence number that no other queue of the level has, which orders queues that are otherwise equal
         * @param round first round in which the queue is served
         * @return the queue
         */
        L create(long sequence, long round);
    }
}
