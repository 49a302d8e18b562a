package org.turmericspan.bench.load;

/**
 * The end of one request.
 *
 * @param outcome how it ended
 * @param code numbered code of the balancer, or 0
 */
public record CallEnd(CallOutcome outcome, int code) {
    /** End of a request that was answered whole. */
    public static final CallEnd SERVED = new CallEnd(CallOutcome.SERVED, 0);

    /** End of a request that got no answer. */
    public static final CallEnd FAILED = new CallEnd(CallOutcome.FAILED, 0);
}
