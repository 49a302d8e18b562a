package org.turmericspan.calls;

/** Sends one attempt to one upstream. */
@FunctionalInterface
public interface UpstreamSender {
    /**
     * Starts an attempt without blocking. The lease is checked again immediately before the first byte.
     *
     * @param lease slot under which the attempt runs
     * @param request the call
     * @param answerLimitBytes largest answer
     * @return the attempt
     */
    UpstreamExchange send(SlotLease lease, CallRequest request, int answerLimitBytes);
}
