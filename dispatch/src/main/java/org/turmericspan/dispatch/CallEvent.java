package org.turmericspan.dispatch;

import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.SlotDecision;

/** Event that {@link CallStateMachine} handles. */
sealed interface CallEvent {
    /** The call arrived. */
    record Started() implements CallEvent {}

    /**
     * A slot request was granted or denied.
     *
     * @param attempt number of the attempt that requested the slot
     * @param decision the decision
     */
    record SlotDecided(int attempt, SlotDecision decision) implements CallEvent {}

    /**
     * An attempt ended.
     *
     * @param attempt its number
     * @param outcome how it ended
     * @param upstreamCrashed whether the upstream crashed during the attempt
     */
    record AttemptEnded(int attempt, AttemptOutcome outcome, boolean upstreamCrashed) implements CallEvent {}

    /** The hedge delay passed. */
    record HedgeDelayElapsed() implements CallEvent {}
}
