package org.turmericspan.calls;

import java.util.concurrent.CompletionStage;

/** Grants slots, its own or lent by other nodes. */
@FunctionalInterface
public interface SlotSource {
    /**
     * Asks for a slot without blocking; the wish waits as parked state.
     *
     * @param request what is wished for
     * @return the decision; the stage never completes exceptionally
     */
    CompletionStage<SlotDecision> acquire(SlotRequest request);
}
