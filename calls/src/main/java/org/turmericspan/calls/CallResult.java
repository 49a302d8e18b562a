package org.turmericspan.calls;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.turmericspan.errors.ResultCode;

/** How a call ended: a whole answer of the upstream, or a refusal with a numbered code. */
public sealed interface CallResult {
    /**
     * A whole answer of the upstream.
     *
     * @param status HTTP status
     * @param headers header fields to pass on
     * @param body the whole body
     */
    record Answered(int status, List<Header> headers, Payload body) implements CallResult {
        /** Copies the header fields. */
        public Answered {
            headers = List.copyOf(headers);
        }
    }

    /**
     * A refusal or failure reported by the balancer.
     *
     * @param code what happened and whether the request ran
     * @param detail particulars, without callers' data or tokens
     * @param retryAfter when a new try makes sense
     */
    record Refused(ResultCode code, String detail, Optional<Duration> retryAfter) implements CallResult {
        /**
         * Creates a refusal without advice on a new try.
         *
         * @param code what happened
         * @param detail particulars
         * @return the refusal
         */
        public static Refused of(ResultCode code, String detail) {
            return new Refused(code, detail, Optional.empty());
        }
    }
}
