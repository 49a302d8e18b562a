package org.turmericspan.bench.load;

/**
 * Outcome of one request and its code.
 *
 * @param outcome how the request ended for its caller
 * @param code numbered code of the load balancer, or 0 if there is none
 */
public record RequestResult(CallOutcome outcome, int code) {
    /** Result of a request whose complete response arrived. */
    public static final RequestResult SERVED = new RequestResult(CallOutcome.SERVED, 0);

    /** Result of a request without a response. */
    public static final RequestResult FAILED = new RequestResult(CallOutcome.FAILED, 0);
}
