package org.turmericspan.node;

import java.util.concurrent.CompletionStage;

/** Action that a stopping node performs for the other nodes after its last call has completed and before it exits. */
@FunctionalInterface
interface StopStep {
    /**
     * Starts the step.
     *
     * @return stage that completes when the step is done
     */
    CompletionStage<Void> begin();
}
