package org.turmericspan.forwarding;

import org.turmericspan.errors.Ran;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.http.ResponseMessage;

/** Answers that the node gives itself. */
final class Refusal {
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private Refusal() {}

    /** Builds the answer of a code. What has not run is answered with a status that promises so. */
    static ResponseMessage of(ResultCode code, long retryAfterMillis) {
        boolean promises = code.ran() == Ran.NO && code.httpStatus() != NOT_FOUND;
        int status = promises ? UNAVAILABLE : code.httpStatus();
        String text = "{\"code\":" + code.number() + ",\"message\":\"" + code.sentence() + "\"}";
        ResponseMessage response = ResponseMessage.text(status, "application/json", text);
        if (!promises) {
            return response;
        }
        String seconds = Double.toString(retryAfterMillis / MILLIS_PER_SECOND);
        return new ResponseMessage(status, response.headers().with("Retry-After", seconds), response.body());
    }
}
