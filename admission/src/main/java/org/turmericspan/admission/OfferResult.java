package org.turmericspan.admission;

import java.util.Optional;

/**
 * Result of offering a slot request to a {@link FairQueue}.
 *
 * @param <W> type of the attachment that is kept with each request
 */
public sealed interface OfferResult<W> {
    /**
     * The request was added to the queue.
     *
     * @param entry entry of the request
     * @param evicted entry that was evicted for it and whose request is to be denied, if any
     * @param <W> type of the attachment that is kept with each request
     */
    record Queued<W>(QueueEntry<W> entry, Optional<QueueEntry<W>> evicted) implements OfferResult<W> {}

    /**
     * The queue is full and has no entry that may be evicted for the request.
     *
     * @param <W> type of the attachment that is kept with each request
     */
    record Full<W>() implements OfferResult<W> {}
}
