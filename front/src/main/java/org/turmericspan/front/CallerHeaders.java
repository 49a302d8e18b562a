package org.turmericspan.front;

import java.util.Set;

/** Names of header fields that callers send and receive, as written in responses and, for matching, in lower case. */
final class CallerHeaders {
    static final String REQUEST_ID = "Turmericspan-Request-Id";
    static final String RUN_TOKEN = "Turmericspan-Run-Token";
    static final String RETRY_AFTER = "Retry-After";
    static final String CONNECTION = "Connection";
    static final String CLOSE = "close";

    static final String CONTROL_PREFIX = "turmericspan-";
    static final String OFFICE_LOWER = "turmericspan-office";
    static final String CALLER_LOWER = "turmericspan-caller";
    static final String REQUEST_ID_LOWER = "turmericspan-request-id";
    static final String DEADLINE_MS_LOWER = "turmericspan-deadline-ms";
    static final String RUN_TOKEN_LOWER = "turmericspan-run-token";
    static final String DEPTH_LOWER = "turmericspan-depth";
    static final String RETRIED_LOWER = "turmericspan-retried";
    static final String CONNECTION_LOWER = "connection";

    /** Header fields, in lower case, that belong to one connection or are written again for the upstream. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            CONNECTION_LOWER,
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade",
            "host",
            "content-length",
            "expect");

    private CallerHeaders() {}

    static boolean isForwarded(String lowerName) {
        if (lowerName.startsWith(CONTROL_PREFIX)) {
            return lowerName.equals(OFFICE_LOWER) || lowerName.equals(CALLER_LOWER);
        }
        return !NOT_FORWARDED.contains(lowerName);
    }
}
