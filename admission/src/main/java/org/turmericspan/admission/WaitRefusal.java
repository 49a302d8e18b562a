package org.turmericspan.admission;

import java.time.Duration;
import java.util.Optional;

/**
 * Why a request does not wait, or does not wait any more, with the state on which the decision is based.
 *
 * @param reason the reason
 * @param waiting number of requests that wait for the service
 * @param ahead estimated number of those that are served first
 * @param startInterval mean time between two starts of waiting requests; empty while it is unknown
 * @param remainingNanos time left in which a start was of use; negative when it is over
 */
public record WaitRefusal(
        Reason reason, int waiting, int ahead, Optional<Duration> startInterval, long remainingNanos) {
    /** Reason of a refusal. */
    public enum Reason {
        /** The requests ahead take longer than the request can wait. */
        HOPELESS(true),
        /** The room is full of requests that go first. */
        FULL(true),
        /** No upstream takes requests for as long as the request can wait. */
        NO_UPSTREAM(true),
        /** The request gave its place to one that goes first. */
        YIELDED(false),
        /** Requests that came later and go first make the request too late. */
        OVERTAKEN(false),
        /** The time in which a start was of use is over. */
        EXPIRED(false);

        private final boolean atArrival;

        Reason(boolean atArrival) {
            this.atArrival = atArrival;
        }

        /**
         * Returns whether the request never waited.
         *
         * @return true if it was refused when it arrived
         */
        public boolean isAtArrival() {
            return atArrival;
        }
    }
}
