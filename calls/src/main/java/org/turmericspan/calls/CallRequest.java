package org.turmericspan.calls;

import java.util.List;
import java.util.Optional;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RequestId;
import org.turmericspan.ids.RunToken;
import org.turmericspan.ids.ServiceId;

/**
 * Complete request of a caller.
 *
 * @param requestId identifier that the response must repeat
 * @param office account that the caller shares with others
 * @param caller caller within the office
 * @param service called service
 * @param method HTTP method in upper case
 * @param path path and query within the service, beginning with a slash
 * @param headers header fields to forward
 * @param body complete body
 * @param deadlineNanos monotonic time after which the caller no longer waits
 * @param depth number of balanced calls above this one in the call chain
 * @param retried whether this call or one above it in the call chain was already retried
 * @param idempotent whether the request may be sent more than once
 * @param runToken idempotency key under which a non-idempotent request runs at most once
 */
public record CallRequest(
        RequestId requestId,
        OfficeId office,
        CallerId caller,
        ServiceId service,
        String method,
        String path,
        List<Header> headers,
        Payload body,
        long deadlineNanos,
        int depth,
        boolean retried,
        boolean idempotent,
        Optional<RunToken> runToken) {
    /** Copies the header fields. */
    public CallRequest {
        headers = List.copyOf(headers);
    }

    /**
     * Returns the same call marked as retried.
     *
     * @return a copy whose {@code retried} is true
     */
    public CallRequest asRetried() {
        return copy(deadlineNanos, true, idempotent);
    }

    /**
     * Returns the same call with another deadline.
     *
     * @param newDeadlineNanos monotonic time after which the caller no longer waits
     * @return a copy with that deadline
     */
    public CallRequest withDeadline(long newDeadlineNanos) {
        return copy(newDeadlineNanos, retried, idempotent);
    }

    /**
     * Returns the same call marked as one that must not be sent more than once.
     *
     * @return a copy whose {@code idempotent} is false
     */
    public CallRequest asNonIdempotent() {
        return copy(deadlineNanos, retried, false);
    }

    private CallRequest copy(long newDeadlineNanos, boolean newRetried, boolean newIdempotent) {
        return new CallRequest(
                requestId,
                office,
                caller,
                service,
                method,
                path,
                headers,
                body,
                newDeadlineNanos,
                depth,
                newRetried,
                newIdempotent,
                runToken);
    }
}
