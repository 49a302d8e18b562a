package org.turmericspan.dispatch;

import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.SlotDecision;

/** Something that happened to a call. */
sealed interface AttemptEvent {
    /** The call arrived. */
    record Started() implements AttemptEvent {}

    /**
     * A wish was decided.
     *
     * @param attempt number of the attempt that wished
     * @param decision the decision
     */
    record Decided(int attempt, SlotDecision decision) implements AttemptEvent {}

    /**
     * An attempt ended.
     *
     * @param attempt its number
     * @param outcome how it ended
     * @param upstreamDied whether its upstream died while it ran there
     */
    record Replied(int attempt, AttemptOutcome outcome, boolean upstreamDied) implements AttemptEvent {}

    /** The hedge delay passed. */
    record HedgeDue() implements AttemptEvent {}
}
