package org.turmericspan.upstream;

import java.util.Optional;
import okhttp3.Response;
import org.turmericspan.integrity.BodyCheck;
import org.turmericspan.integrity.BodyVerdict;
import org.turmericspan.integrity.ResponseHeads;

/** Checks that a response belongs to its attempt, and that a truncated body would be noticed. */
final class ResponseCheck {
    private static final String HEAD = "HEAD";
    private static final String CONTENT_LENGTH = "Content-Length";
    private static final String TRANSFER_ENCODING = "Transfer-Encoding";
    private static final String CHUNKED = "chunked";
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;

    private ResponseCheck() {}

    /**
     * Compares the identifiers that the upstream echoed. Callers choose the request id, so two callers of an office may
     * use the same one. The node generates the attempt id, which is compared only if the upstream echoes it.
     *
     * @param response response of the upstream
     * @param requestId identifier that the caller gave the request
     * @param attemptId identifier that the node gave the attempt
     * @return true if the response belongs to the attempt
     */
    static boolean belongsTo(Response response, String requestId, String attemptId) {
        String echoedAttempt = response.header(UpstreamHeaders.ATTEMPT_ID);
        return requestId.equals(response.header(UpstreamHeaders.REQUEST_ID))
                && (echoedAttempt == null || echoedAttempt.equals(attemptId));
    }

    /**
     * Checks that the body has a declared length or is chunked. A body that is delimited by the close of the connection
     * looks complete even if it is truncated.
     *
     * @param response response of the upstream
     * @return false if a truncated body would look complete
     */
    static boolean isSelfDelimited(Response response) {
        return hasNoBody(response)
                || response.header(CONTENT_LENGTH) != null
                || CHUNKED.equalsIgnoreCase(response.header(TRANSFER_ENCODING));
    }

    /**
     * Checks that the head is not formed by two responses. If an upstream sends a part of a response and then a whole
     * one, the status line of the second continues a line of the first, and the response has the status of the first.
     *
     * @param response response of the upstream
     * @return false if a status line stands within the status line or a header
     */
    static boolean hasOneStatusLine(Response response) {
        for (int i = 0; i < response.headers().size(); i++) {
            if (ResponseHeads.containStatusLine(response.headers().value(i))) {
                return false;
            }
        }
        return !ResponseHeads.containStatusLine(response.message());
    }

    /**
     * Checks that the body is not formed by two responses.
     *
     * @param body body of the response
     * @param received what was received on the connection
     * @return false if another response begins within the body
     */
    static boolean hasOneBody(byte[] body, ReceivedBytes received) {
        BodyCheck check = new BodyCheck(body, Optional.of(UpstreamHeaders.REQUEST_ID));
        return check.verdict() != BodyVerdict.SPLICED && !check.isContinuedBy(received.following());
    }

    /**
     * Returns the length of the body as far as the head states it.
     *
     * @param response response of the upstream
     * @return 0 if it has no body, -1 if the length shows only at the end of the body
     */
    static long declaredLength(Response response) {
        if (hasNoBody(response)) {
            return 0;
        }
        return response.header(TRANSFER_ENCODING) == null ? response.body().contentLength() : -1;
    }

    private static boolean hasNoBody(Response response) {
        return HEAD.equals(response.request().method())
                || response.code() == STATUS_NO_CONTENT
                || response.code() == STATUS_NOT_MODIFIED;
    }
}
