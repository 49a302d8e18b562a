package org.turmericspan.calls;

import java.time.Duration;

/**
 * How one attempt on one upstream ended.
 *
 * @param kind what came back
 * @param answer the whole answer when {@code kind} is {@link Kind#COMPLETE}, else an empty one
 * @param elapsed from the first byte sent; zero when nothing was sent
 * @param signals what the upstream said of itself
 */
public record AttemptOutcome(Kind kind, CallResult.Answered answer, Duration elapsed, UpstreamSignals signals) {
    /** What came back. */
    public enum Kind {
        /** A whole answer. */
        COMPLETE,
        /** The upstream said that it did not run the request. */
        SHED,
        /** The connection was refused or could not be made; no byte was sent. */
        CONNECT_FAILED,
        /** The lease no longer held when the first byte was to be written; no byte was sent. */
        LEASE_INVALID,
        /** Bytes were sent and no whole answer came back. */
        CONNECTION_LOST,
        /** Bytes were sent and the deadline passed. */
        TIMED_OUT,
        /** The deadline passed or the attempt was cancelled before any byte was sent. */
        CANCELLED_BEFORE_SEND,
        /** The attempt was cancelled by the balancer after bytes were sent. */
        CANCELLED_AFTER_SEND,
        /** The answer exceeded the limit. */
        ANSWER_TOO_LARGE
    }

    /**
     * Tells whether any byte of the request may have reached the upstream and started work.
     *
     * @return false only with proof
     */
    public boolean mayHaveRun() {
        return switch (kind) {
            case SHED, CONNECT_FAILED, LEASE_INVALID, CANCELLED_BEFORE_SEND -> false;
            default -> true;
        };
    }
}
