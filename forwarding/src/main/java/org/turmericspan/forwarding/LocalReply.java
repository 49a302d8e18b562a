package org.turmericspan.forwarding;

import org.turmericspan.errors.Ran;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.http.ResponseMessage;

/** Builds the responses that the node generates itself. */
final class LocalReply {
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private LocalReply() {}

    /**
     * Builds the local reply for a code. A request that was not run gets status 503, which guarantees this to the
     * caller, unless the status of the code is 404.
     */
    static ResponseMessage of(ResultCode code, long retryAfterMillis) {
        boolean guaranteesNotRun = code.ran() == Ran.NO && code.httpStatus() != NOT_FOUND;
        int status = guaranteesNotRun ? UNAVAILABLE : code.httpStatus();
        String json = "{\"code\":" + code.number() + ",\"message\":\"" + code.sentence() + "\"}";
        ResponseMessage response = ResponseMessage.text(status, "application/json", json);
        if (!guaranteesNotRun) {
            return response;
        }
        String seconds = Double.toString(retryAfterMillis / MILLIS_PER_SECOND);
        return new ResponseMessage(status, response.headers().with("Retry-After", seconds), response.body());
    }
}
