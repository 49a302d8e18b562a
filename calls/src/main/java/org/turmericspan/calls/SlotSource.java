package org.turmericspan.calls;

import java.util.concurrent.CompletionStage;

/** Source of slots that belong to this node or are borrowed from other nodes. */
@FunctionalInterface
public interface SlotSource {
    /**
     * Requests a slot without blocking; a request that must wait is queued.
     *
     * @param request the slot request
     * @return the decision; the stage never completes exceptionally
     */
    CompletionStage<SlotDecision> acquire(SlotRequest request);
}
