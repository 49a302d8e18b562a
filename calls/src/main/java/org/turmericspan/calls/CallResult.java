package org.turmericspan.calls;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.turmericspan.errors.ResultCode;

/** Result of a call: the complete response of the upstream, or a local reply with a numbered code. */
public sealed interface CallResult {
    /**
     * Complete response of the upstream.
     *
     * @param status HTTP status
     * @param headers header fields to forward
     * @param body complete body
     */
    record Answered(int status, List<Header> headers, Payload body) implements CallResult {
        /** Copies the header fields. */
        public Answered {
            headers = List.copyOf(headers);
        }
    }

    /**
     * Local reply: the balancer refused the call or reports its failure.
     *
     * @param code what happened and whether the request ran
     * @param detail further information, without callers' data or tokens
     * @param retryAfter time after which a retry makes sense
     */
    record Refused(ResultCode code, String detail, Optional<Duration> retryAfter) implements CallResult {
        /**
         * Creates a local reply that does not suggest when to retry.
         *
         * @param code what happened
         * @param detail further information
         * @return the local reply
         */
        public static Refused of(ResultCode code, String detail) {
            return new Refused(code, detail, Optional.empty());
        }
    }
}
