package org.turmericspan.front;

import java.util.List;
import java.util.Optional;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.Header;
import org.turmericspan.calls.Payload;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RequestId;
import org.turmericspan.ids.RunToken;

/**
 * Validated request without its body.
 *
 * @param requestId identifier that the response must echo
 * @param office account that the caller works under
 * @param caller caller within the office
 * @param path service and path
 * @param method HTTP method in capital letters
 * @param headers header fields to forward
 * @param bodyLimitBytes maximum body size in bytes
 * @param deadlineNanos monotonic time in nanoseconds at which the caller stops waiting
 * @param depth number of balanced calls above this one in the call chain
 * @param retried whether this call or one above it in the call chain was already retried
 * @param idempotent whether the request may run more than once
 * @param runToken idempotency key that lets a non-idempotent request run once
 */
record RequestHead(
        RequestId requestId,
        OfficeId office,
        CallerId caller,
        RequestPath path,
        String method,
        List<Header> headers,
        int bodyLimitBytes,
        long deadlineNanos,
        int depth,
        boolean retried,
        boolean idempotent,
        Optional<RunToken> runToken) {
    CallRequest withBody(Payload body) {
        return new CallRequest(
                requestId,
                office,
                caller,
                path.service(),
                method,
                path.path(),
                headers,
                body,
                deadlineNanos,
                depth,
                retried,
                idempotent,
                runToken);
    }
}
