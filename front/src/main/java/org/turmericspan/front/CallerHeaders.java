package org.turmericspan.front;

import java.util.Set;

/** Header fields that callers send and get. */
final class CallerHeaders {
    static final String OFFICE = "Turmericspan-Office";
    static final String CALLER = "Turmericspan-Caller";
    static final String REQUEST_ID = "Turmericspan-Request-Id";
    static final String DEADLINE_MS = "Turmericspan-Deadline-Ms";
    static final String RUN_TOKEN = "Turmericspan-Run-Token";
    static final String DEPTH = "Turmericspan-Depth";
    static final String RETRIED = "Turmericspan-Retried";
    static final String RETRY_AFTER = "Retry-After";

    /** Header fields, in lower case, that end at this node. */
    static final Set<String> NOT_PASSED_ON = Set.of(
            "connection",
            "keep-alive",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade",
            "host",
            "content-length",
            "expect",
            "turmericspan-deadline-ms",
            "turmericspan-run-token",
            "turmericspan-depth",
            "turmericspan-retried",
            "turmericspan-request-id");

    private CallerHeaders() {}
}
