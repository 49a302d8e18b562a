package org.turmericspan.upstream;

import java.util.Optional;
import java.util.OptionalInt;
import okhttp3.Response;
import org.turmericspan.calls.UpstreamSignals;

/** Header fields of requests to upstreams and of their responses, in which upstreams report their state. */
final class UpstreamHeaders {
    static final String REQUEST_ID = "Turmericspan-Request-Id";
    static final String ATTEMPT_ID = "Turmericspan-Attempt-Id";
    static final String DEADLINE_MS = "Turmericspan-Deadline-Ms";
    static final String DEPTH = "Turmericspan-Depth";
    static final String RETRIED = "Turmericspan-Retried";
    static final String RUNNING = "Turmericspan-Running";
    static final String COLD = "Turmericspan-Cold";
    static final String LEAVING = "Turmericspan-Leaving";
    static final String INCARNATION = "Turmericspan-Incarnation";
    static final String NOT_RUN = "Turmericspan-Not-Run";
    static final String YES = "1";
    static final String RETRY_AFTER = "Retry-After";
    /** Carries {@code Retry-After} past the HTTP library; see {@link SendProof.Interceptor}. */
    static final String HELD_RETRY_AFTER = "Turmericspan-Held-Retry-After";

    static final String ACCEPT_ENCODING = "Accept-Encoding";
    static final String IDENTITY = "identity";

    private UpstreamHeaders() {}

    static UpstreamSignals signals(Response response) {
        return new UpstreamSignals(
                parseRunning(response.header(RUNNING)),
                YES.equals(response.header(COLD)),
                YES.equals(response.header(LEAVING)),
                Optional.ofNullable(response.header(INCARNATION)));
    }

    private static OptionalInt parseRunning(String value) {
        if (value == null || !value.matches("[0-9]{1,9}")) {
            return OptionalInt.empty();
        }
        return OptionalInt.of(Integer.parseInt(value));
    }
}
