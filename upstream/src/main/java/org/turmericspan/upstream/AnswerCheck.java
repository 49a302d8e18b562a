package org.turmericspan.upstream;

import okhttp3.Response;

/** Says whether an answer is this request's own, and whether its end can be told from a broken connection. */
final class AnswerCheck {
    private static final String HEAD = "HEAD";
    private static final String CONTENT_LENGTH = "Content-Length";
    private static final String TRANSFER_ENCODING = "Transfer-Encoding";
    private static final String CHUNKED = "chunked";
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;

    private AnswerCheck() {}

    /**
     * Compares the identifiers that the upstream echoed. The request id comes from the caller, so two colleagues may
     * use the same; the attempt id is the node's own and is checked wherever the upstream echoes it.
     *
     * @param response the answer
     * @param requestId identifier the caller gave the request
     * @param attemptId identifier the node gave the attempt
     * @return true when the answer belongs to the attempt
     */
    static boolean belongsTo(Response response, String requestId, String attemptId) {
        String echoedAttempt = response.header(UpstreamHeaders.ATTEMPT_ID);
        return requestId.equals(response.header(UpstreamHeaders.REQUEST_ID))
                && (echoedAttempt == null || echoedAttempt.equals(attemptId));
    }

    /**
     * Checks that the body has a length or chunks. One that ends when the connection closes looks whole when it is
     * short.
     *
     * @param response the answer
     * @return false when a short body would look whole
     */
    static boolean showsItsEnd(Response response) {
        return hasNoBody(response)
                || response.header(CONTENT_LENGTH) != null
                || CHUNKED.equalsIgnoreCase(response.header(TRANSFER_ENCODING));
    }

    private static boolean hasNoBody(Response response) {
        return HEAD.equals(response.request().method())
                || response.code() == STATUS_NO_CONTENT
                || response.code() == STATUS_NOT_MODIFIED;
    }
}
