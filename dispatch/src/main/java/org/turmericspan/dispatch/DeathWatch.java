package org.turmericspan.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.UpstreamReply;

/** Is told how attempts end, and finds out whether an upstream died under one. */
public interface DeathWatch {
    /**
     * Takes in an attempt that lost its connection after bytes were sent.
     *
     * @param request what was sent
     * @param lease slot under which it ran
     * @param reply how it ended
     * @return true when the upstream died; the stage never completes exceptionally
     */
    CompletionStage<Boolean> lost(CallRequest request, SlotLease lease, UpstreamReply reply);

    /**
     * Takes in an attempt that brought a whole answer.
     *
     * @param request what was sent
     * @param lease slot under which it ran
     * @param reply the answer
     */
    void answered(CallRequest request, SlotLease lease, UpstreamReply reply);

    /**
     * Returns the watch that suspects nothing, for tests and comparisons.
     *
     * @return the watch
     */
    static DeathWatch none() {
        return new DeathWatch() {
            @Override
            public CompletionStage<Boolean> lost(CallRequest request, SlotLease lease, UpstreamReply reply) {
                return CompletableFuture.completedFuture(false);
            }

            @Override
            public void answered(CallRequest request, SlotLease lease, UpstreamReply reply) {
                // Nothing is suspected, so nothing is cleared.
            }
        };
    }
}
