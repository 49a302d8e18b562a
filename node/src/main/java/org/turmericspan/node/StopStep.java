package org.turmericspan.node;

import java.util.concurrent.CompletionStage;

/** Action of a planned stop that runs after the last call has completed and before the node exits. */
@FunctionalInterface
interface StopStep {
    /**
     * Starts the step.
     *
     * @return stage that completes when the step is done
     */
    CompletionStage<Void> begin();
}
