package org.turmericspan.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.SlotLease;

/** Determines from the outcomes of attempts whether an upstream crashed while it ran a request. */
public interface CrashDetector {
    /**
     * Records an attempt that lost its connection after bytes were sent.
     *
     * @param request request that was sent
     * @param lease lease of the slot that the attempt used
     * @param outcome outcome of the attempt
     * @return true when the upstream is known to have crashed; the stage never completes exceptionally
     */
    CompletionStage<Boolean> connectionLost(CallRequest request, SlotLease lease, AttemptOutcome outcome);

    /**
     * Records an attempt that ended with a complete response.
     *
     * @param request request that was sent
     * @param lease lease of the slot that the attempt used
     * @param outcome outcome with the response
     */
    void responseReceived(CallRequest request, SlotLease lease, AttemptOutcome outcome);

    /**
     * Returns a detector that never reports a crash, for tests and comparisons.
     *
     * @return detector without state
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
                // Without crashes no request is suspected, so a response clears none.
            }
        };
    }
}
