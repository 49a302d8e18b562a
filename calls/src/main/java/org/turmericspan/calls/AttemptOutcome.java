package org.turmericspan.calls;

import java.time.Duration;

/**
 * Outcome of one attempt at one upstream.
 *
 * @param kind how the attempt ended
 * @param answer complete response when {@code kind} is {@link Kind#COMPLETE}, otherwise an empty one
 * @param elapsed time since the first byte was sent; zero when nothing was sent
 * @param signals state that the upstream reported
 */
public record AttemptOutcome(Kind kind, CallResult.Answered answer, Duration elapsed, UpstreamSignals signals) {
    /** How an attempt can end. */
    public enum Kind {
        /** A complete response was received. */
        COMPLETE,
        /** The upstream shed the request and reported that it did not run it. */
        SHED,
        /** The connection was refused or could not be established; no byte was sent. */
        CONNECT_FAILED,
        /** The lease was no longer valid when the first byte was due; no byte was sent. */
        LEASE_INVALID,
        /** The connection broke after bytes were sent and before the response was complete. */
        CONNECTION_LOST,
        /** The deadline passed after bytes were sent. */
        TIMED_OUT,
        /** The deadline passed or the attempt was cancelled before any byte was sent. */
        CANCELLED_BEFORE_SEND,
        /** The attempt was cancelled by the balancer after bytes were sent. */
        CANCELLED_AFTER_SEND,
        /** The response exceeded the size limit. */
        ANSWER_TOO_LARGE
    }

    /**
     * Returns whether the upstream may have run the request.
     *
     * @return false only when it is certain that the request did not run
     */
    public boolean mayHaveRun() {
        return switch (kind) {
            case SHED, CONNECT_FAILED, LEASE_INVALID, CANCELLED_BEFORE_SEND -> false;
            default -> true;
        };
    }
}
