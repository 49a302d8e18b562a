package org.turmericspan.calls;

/** Sends requests to upstreams, one attempt at a time. */
@FunctionalInterface
public interface UpstreamSender {
    /**
     * Starts an attempt without blocking. The lease is checked again immediately before the first byte.
     *
     * @param lease lease under which the attempt runs
     * @param request the call
     * @param answerLimitBytes maximum size of the response
     * @return the attempt
     */
    UpstreamExchange send(SlotLease lease, CallRequest request, int answerLimitBytes);
}
