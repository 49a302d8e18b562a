package org.turmericspan.admission;

import java.util.List;

/**
 * Decision on a request that arrives at a {@link WaitingRoom}.
 *
 * @param <W> type of the attachment that is kept with each request
 */
public sealed interface WaitDecision<W> {
    /**
     * The request waits.
     *
     * @param waiter its place
     * @param departures requests that gave up their places for it, or whose time is over
     * @param <W> type of the attachment that is kept with each request
     */
    record Waits<W>(Waiter<W> waiter, List<Departure<W>> departures) implements WaitDecision<W> {}

    /**
     * The request is refused.
     *
     * @param refusal the reason, and the inputs of the decision
     * @param <W> type of the attachment that is kept with each request
     */
    record Refused<W>(WaitRefusal refusal) implements WaitDecision<W> {}

    /**
     * A request that waited and is refused.
     *
     * @param waiter its former place
     * @param refusal the reason, and the inputs of the decision
     * @param <W> type of the attachment that is kept with each request
     */
    record Departure<W>(Waiter<W> waiter, WaitRefusal refusal) {}
}
