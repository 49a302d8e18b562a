package org.turmericspan.forwarding;

import org.turmericspan.errors.Ran;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.http.ResponseMessage;

/** Builds the responses that the node generates itself. */
final class LocalReply {
    private static final int UNAVAILABLE = 503;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private LocalReply() {}

    /**
     * Builds the local reply for a code. A request that was not run gets status 503, which guarantees this to the
     * caller, unless the code says that it must be changed before it is sent again, or that its tenant is over its cap.
     */
    static ResponseMessage of(ResultCode code, long retryAfterMillis) {
        boolean isFinal = code.httpStatus() == NOT_FOUND || code.httpStatus() == UNAUTHORIZED;
        boolean guaranteesNotRun = code.ran() == Ran.NO && !isFinal;
        boolean keepsStatus = !guaranteesNotRun || code.httpStatus() == TOO_MANY_REQUESTS;
        int status = keepsStatus ? code.httpStatus() : UNAVAILABLE;
        String json = "{\"code\":" + code.number() + ",\"message\":\"" + code.sentence() + "\"}";
        ResponseMessage response = ResponseMessage.text(status, "application/json", json);
        if (!guaranteesNotRun) {
            return response;
        }
        String seconds = Double.toString(retryAfterMillis / MILLIS_PER_SECOND);
        return new ResponseMessage(status, response.headers().with("Retry-After", seconds), response.body());
    }
}
