package org.turmericspan.admission;

import java.util.Optional;

/**
 * Answer of a {@link FairQueue} to an offered wish.
 *
 * @param <W> what the owner parks with a wish
 */
public sealed interface QueueOffer<W> {
    /**
     * The wish waits.
     *
     * @param ticket its place
     * @param displaced a wish of a larger line that lost its place and is to be refused, if any
     * @param <W> what the owner parks with a wish
     */
    record Queued<W>(WaitTicket<W> ticket, Optional<WaitTicket<W>> displaced) implements QueueOffer<W> {}

    /**
     * The queue is full and no other line is larger.
     *
     * @param <W> what the owner parks with a wish
     */
    record Full<W>() implements QueueOffer<W> {}
}
