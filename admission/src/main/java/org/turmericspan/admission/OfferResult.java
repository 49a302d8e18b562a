package org.turmericspan.admission;

import java.util.Optional;

/**
 * Answer of a {@link FairQueue} to an offered wish.
 *
 * @param <W> what the owner parks with a wish
 */
public sealed interface OfferResult<W> {
    /**
     * The wish waits.
     *
     * @param ticket its place
     * @param displaced a wish of a larger line that lost its place and is to be refused, if any
     * @param <W> what the owner parks with a wish
     */
    record Queued<W>(QueueEntry<W> ticket, Optional<QueueEntry<W>> displaced) implements OfferResult<W> {}

    /**
     * The queue is full and no other line is larger.
     *
     * @param <W> what the owner parks with a wish
     */
    record Full<W>() implements OfferResult<W> {}
}
