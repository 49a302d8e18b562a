package org.turmericspan.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.SlotLease;

/** Observes how attempts end, and determines whether an upstream crashed during one. */
public interface CrashDetector {
    /**
     * Records an attempt that lost its connection after bytes were sent.
     *
     * @param request request that was sent
     * @param lease slot that the attempt used
     * @param outcome outcome of the attempt
     * @return true when the upstream crashed; the stage never completes exceptionally
     */
    CompletionStage<Boolean> connectionLost(CallRequest request, SlotLease lease, AttemptOutcome outcome);

    /**
     * Records an attempt that ended with a complete response.
     *
     * @param request request that was sent
     * @param lease slot that the attempt used
     * @param outcome outcome with the response
     */
    void responseReceived(CallRequest request, SlotLease lease, AttemptOutcome outcome);

    /**
     * Returns a detector that reports no crash, for tests and benchmarks that compare with it.
     *
     * @return the detector
     */
    static CrashDetector none() {
        return new CrashDetector() {
            @Override
            public CompletionStage<Boolean> connectionLost(
                    CallRequest request, SlotLease lease, AttemptOutcome outcome) {
                return CompletableFuture.completedFuture(false);
            }

            @Override
            public void responseReceived(CallRequest request, SlotLease lease, AttemptOutcome outcome) {
                // No request is ever suspected, so none has to be cleared.
            }
        };
    }
}
