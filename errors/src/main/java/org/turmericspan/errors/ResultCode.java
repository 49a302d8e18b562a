package org.turmericspan.errors;

import java.util.Arrays;
import java.util.Optional;

/** Refusals and failures that the balancer reports. Numbers never change; {@code docs/ERRORS.md} lists them. */
public enum ResultCode {
    /** No service, path or object of that name is configured. */
    NOT_CONFIGURED(1001, Ran.NO, 404, "The service is not configured."),
    /** A header, the path or the body of the request is malformed. */
    MALFORMED_REQUEST(1002, Ran.NO, 400, "The request is malformed."),
    /** The body, the URI or the headers exceed their size limit. */
    TOO_LARGE(1003, Ran.NO, 413, "The request is too large."),
    /** A non-idempotent request came without a run token. */
    RUN_TOKEN_MISSING(1004, Ran.NO, 428, "A non-idempotent request needs a run token."),
    /** The run token is bound to another caller or is in use by another office. */
    RUN_TOKEN_OF_ANOTHER_CALLER(1005, Ran.NO, 403, "The run token belongs to another caller."),
    /** The epoch of the run token has expired, and its outcomes are no longer stored. */
    RUN_TOKEN_EXPIRED(1006, Ran.UNKNOWN, 410, "The run token has expired; its outcome is unknown."),
    /** The run table has reached its limit of entries or bytes. */
    RUN_TABLE_FULL(1007, Ran.NO, 503, "Too many runs are remembered; try again later."),
    /** The run token was used before with a different request. */
    RUN_TOKEN_REUSED(1008, Ran.NO, 409, "The run token was used for a different request."),
    /** The caller does not belong to the office, or is not authorized for an operator call. */
    FORBIDDEN(1009, Ran.NO, 403, "The call is not permitted."),
    /** A request with this run token was refused and not run. The token cannot be used again. */
    RUN_TOKEN_SPENT(1010, Ran.NO, 409, "A request with this run token was refused and not run; stamp a new one."),
    /** The run token names an epoch that has not started on the node. */
    RUN_TOKEN_NOT_ISSUED(1011, Ran.UNKNOWN, 400, "The run token names an epoch that was not given out."),
    /** The path does not support the HTTP method. */
    METHOD_NOT_ALLOWED(1012, Ran.NO, 405, "The path does not take this method."),
    /** The request was not received completely in time. */
    SLOW_REQUEST(1013, Ran.NO, 408, "The request arrived too slowly."),
    /** The request needs a key and has none. */
    KEY_MISSING(1014, Ran.NO, 401, "The request needs a key."),
    /** No tenant of the newest configuration holds the key. */
    KEY_UNKNOWN(1015, Ran.NO, 401, "The key is unknown."),
    /** The request has several credentials, of which none is preferred. */
    KEY_AMBIGUOUS(1016, Ran.NO, 401, "The request has several credentials."),
    /** No upstream has a free slot, or none is expected to serve the request before its deadline. */
    NO_CAPACITY(1101, Ran.NO, 503, "No upstream has capacity."),
    /** The admission queue is full. */
    QUEUE_FULL(1102, Ran.NO, 503, "Too many requests wait; try again later."),
    /** The deadline passed before the request was sent. */
    DEADLINE_BEFORE_SEND(1103, Ran.NO, 504, "The deadline passed before the request was sent."),
    /** The connection to the upstream failed before any byte of the request was sent. */
    REFUSED_BEFORE_SEND(1104, Ran.NO, 502, "The upstream refused the connection."),
    /** The upstream reported that it shed the request. */
    SHED_BY_UPSTREAM(1105, Ran.NO, 503, "The upstream shed the request."),
    /** The request is quarantined, because requests with the same fingerprint are suspected of crashing upstreams. */
    QUARANTINED(1106, Ran.NO, 503, "Requests like this one are quarantined."),
    /** The node is stopping and accepts no new requests. */
    STOPPING(1107, Ran.NO, 503, "The node is stopping."),
    /** The call chain exceeds the depth limit. */
    TOO_DEEP(1108, Ran.NO, 508, "The call chain is too deep."),
    /** The node has no accepted configuration yet. */
    NOT_READY(1109, Ran.NO, 503, "The node has no configuration yet."),
    /** The tenant of the request has used up its cap. */
    OVER_CAP(1110, Ran.NO, 429, "The tenant is over its cap."),
    /** No node that may decide on the cap of the tenant has answered in time. */
    CAP_UNDECIDED(1111, Ran.NO, 503, "The cap of the tenant could not be checked."),
    /** The key is unknown to this node, which may lack the newest configuration. */
    KEY_UNCONFIRMED(1112, Ran.NO, 503, "The key could not be checked against the newest configuration."),
    /** The key was moved to another tenant while the request waited. */
    KEY_MOVED(1113, Ran.NO, 503, "The key belongs to another tenant now."),
    /** The request was sent, but no complete response was received. */
    OUTCOME_UNKNOWN(1201, Ran.UNKNOWN, 502, "The outcome of the request is unknown."),
    /** The deadline passed after the request was sent. */
    DEADLINE_AFTER_SEND(1202, Ran.UNKNOWN, 504, "The deadline passed after the request was sent."),
    /** The response exceeded the buffer limit. */
    ANSWER_TOO_LARGE(1203, Ran.YES, 502, "The answer is too large."),
    /** The token owner, the only node that may run the request, has restarted or cannot be reached. */
    OWNER_UNREACHABLE(1204, Ran.UNKNOWN, 502, "The node that owns the run token cannot be reached."),
    /** The request ran, but there was no capacity to store its response for duplicate requests. */
    ANSWER_NOT_STORED(1205, Ran.YES, 410, "The request ran; its answer is no longer stored."),
    /** A setting is missing or out of range. */
    INVALID_SETTING(2001, Ran.NO, 500, "A setting is invalid."),
    /** The published configuration is invalid or inconsistent. */
    INVALID_CONFIGURATION(2002, Ran.NO, 500, "The configuration is invalid."),
    /** The platform did not reply, or its reply violates the protocol. */
    PLATFORM_FAILURE(3001, Ran.NO, 502, "The platform could not be read."),
    /** A peer sent a malformed frame. */
    MALFORMED_PEER_MESSAGE(3101, Ran.NO, 400, "A peer message is malformed."),
    /** The peer could not prove that it holds the shared key of the deployment. */
    PEER_NOT_TRUSTED(3102, Ran.NO, 403, "The peer does not hold the shared key."),
    /** The peer cannot be reached. */
    PEER_UNREACHABLE(3103, Ran.NO, 502, "The peer cannot be reached."),
    /** An internal error of the balancer. */
    INTERNAL(9001, Ran.UNKNOWN, 500, "An internal error occurred.");

    private final int number;
    private final Ran ran;
    private final int httpStatus;
    private final String sentence;

    ResultCode(int number, Ran ran, int httpStatus, String sentence) {
        this.number = number;
        this.ran = ran;
        this.httpStatus = httpStatus;
        this.sentence = sentence;
    }

    /**
     * Finds the code with a number.
     *
     * @param number number of a code
     * @return the code, or empty when no code has that number
     */
    public static Optional<ResultCode> ofNumber(int number) {
        return Arrays.stream(values()).filter(code -> code.number == number).findFirst();
    }

    /**
     * Returns the number of the code, which never changes.
     *
     * @return the number
     */
    public int number() {
        return number;
    }

    /**
     * Returns whether a request that is reported with this code was executed.
     *
     * @return whether the request was executed, if known
     */
    public Ran ran() {
        return ran;
    }

    /**
     * Returns the HTTP status of a response that reports the code.
     *
     * @return an HTTP status
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the human-readable description.
     *
     * @return one sentence
     */
    public String sentence() {
        return sentence;
    }
}
