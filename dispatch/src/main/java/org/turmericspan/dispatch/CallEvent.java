package org.turmericspan.dispatch;

import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.SlotDecision;

/** Event that {@link CallStateMachine} handles. */
sealed interface CallEvent {
    /** The call arrived; the first event of each call. */
    record Started() implements CallEvent {}

    /**
     * A slot request was granted or denied.
     *
     * @param attempt number of the attempt that requested the slot
     * @param decision lease of the slot, or reason of the denial
     */
    record SlotDecided(int attempt, SlotDecision decision) implements CallEvent {}

    /**
     * An attempt ended.
     *
     * @param attempt number of the attempt
     * @param outcome outcome of the attempt
     * @param upstreamCrashed whether the upstream crashed during the attempt
     */
    record AttemptEnded(int attempt, AttemptOutcome outcome, boolean upstreamCrashed) implements CallEvent {}

    /** The delay after which the call may be hedged has elapsed. The first attempt may have ended before. */
    record HedgeDelayElapsed() implements CallEvent {}
}
