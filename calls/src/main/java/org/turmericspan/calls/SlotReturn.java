package org.turmericspan.calls;

import java.time.Duration;

/**
 * What an attempt revealed about the upstream, reported when its slot is released.
 *
 * @param outcome how the attempt ended
 * @param elapsed time from the first byte sent to the end of the attempt; zero when nothing was sent
 * @param signals state that the upstream reported
 */
public record SlotReturn(Outcome outcome, Duration elapsed, UpstreamSignals signals) {
    /** How an attempt ended, as far as the upstream is concerned. The wire format uses the names of the constants. */
    public enum Outcome {
        /** A complete response was received. */
        ANSWERED,
        /** The upstream shed the request and reported that it did not run it. */
        SHED,
        /** The connection was refused. */
        CONNECTION_REFUSED,
        /** The connection broke after bytes were sent. */
        CONNECTION_LOST,
        /** No response arrived in time. */
        TIMED_OUT,
        /** The attempt was cancelled by the balancer. */
        CANCELLED,
        /** Nothing was sent, for a reason unrelated to the upstream. */
        NOT_SENT
    }

    /**
     * Creates the return of a slot under which nothing was sent.
     *
     * @return a return without information about the upstream
     */
    public static SlotReturn unused() {
        return new SlotReturn(Outcome.NOT_SENT, Duration.ZERO, UpstreamSignals.NONE);
    }
}
