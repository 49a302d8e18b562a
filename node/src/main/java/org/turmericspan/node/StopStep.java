package org.turmericspan.node;

import java.util.concurrent.CompletionStage;

/** Something a node does for the others after its last call has ended and before it exits. */
@FunctionalInterface
interface StopStep {
    /**
     * Begins the step.
     *
     * @return complete when the step is done
     */
    CompletionStage<Void> begin();
}
