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
 * A request without its body, checked.
 *
 * @param requestId identifier the answer must echo
 * @param office account the caller works under
 * @param caller the caller within the office
 * @param path service and path
 * @param method HTTP method in capital letters
 * @param headers header fields to pass on
 * @param bodyLimitBytes largest body
 * @param deadlineNanos monotonic time after which the caller no longer waits
 * @param depth number of balanced calls above this one
 * @param retried whether this call or one above it was already retried
 * @param idempotent whether the request may be repeated
 * @param runToken right to run a non-idempotent request once
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
