package org.turmericspan.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.SlotLease;

/** Is told how attempts end, and finds out whether an upstream died under one. */
public interface CrashDetector {
    /**
     * Takes in an attempt that lost its connection after bytes were sent.
     *
     * @param request what was sent
     * @param lease slot under which it ran
     * @param outcome how it ended
     * @return true when the upstream died; the stage never completes exceptionally
     */
    CompletionStage<Boolean> connectionLost(CallRequest request, SlotLease lease, AttemptOutcome outcome);

    /**
     * Takes in an attempt that brought a whole answer.
     *
     * @param request what was sent
     * @param lease slot under which it ran
     * @param outcome the answer
     */
    void responseReceived(CallRequest request, SlotLease lease, AttemptOutcome outcome);

    /**
     * Returns the watch that suspects nothing, for tests and comparisons.
     *
     * @return the watch
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
                // Nothing is suspected, so nothing is cleared.
            }
        };
    }
}
