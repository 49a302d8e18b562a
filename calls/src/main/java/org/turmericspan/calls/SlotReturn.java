package org.turmericspan.calls;

import java.time.Duration;

/**
 * What an attempt showed of the upstream, told when its slot is given back.
 *
 * @param outcome how the attempt ended
 * @param elapsed from the first byte sent to the end of the attempt; zero when nothing was sent
 * @param signals what the upstream said of itself
 */
public record SlotReturn(Outcome outcome, Duration elapsed, UpstreamSignals signals) {
    /** How an attempt ended, as far as the upstream's state is concerned. */
    public enum Outcome {
        /** A whole answer came back. */
        ANSWERED,
        /** The upstream said that it did not run the request. */
        SHED,
        /** The connection was refused. */
        CONNECTION_REFUSED,
        /** The connection broke after bytes were sent. */
        CONNECTION_LOST,
        /** No answer came in time. */
        TIMED_OUT,
        /** The attempt was cancelled by the balancer. */
        CANCELLED,
        /** Nothing was sent, for a reason that says nothing of the upstream. */
        NOT_SENT
    }

    /**
     * Builds the return of a slot under which nothing was sent.
     *
     * @return a return that says nothing of the upstream
     */
    public static SlotReturn unused() {
        return new SlotReturn(Outcome.NOT_SENT, Duration.ZERO, UpstreamSignals.NONE);
    }
}
