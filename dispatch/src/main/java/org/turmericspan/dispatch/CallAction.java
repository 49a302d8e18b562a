package org.turmericspan.dispatch;

import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;

/** Action that {@link CallStateMachine} requests and {@link CallExecution} performs. */
sealed interface CallAction {
    /**
     * Requests a slot, whose grant or denial is reported by {@link CallEvent.SlotDecided}.
     *
     * @param attempt number of the attempt in its call, from 0
     * @param slotRequest request to pass to the slot source
     */
    record Acquire(int attempt, SlotRequest slotRequest) implements CallAction {}

    /**
     * Sends an attempt, whose end is reported by {@link CallEvent.AttemptEnded}.
     *
     * @param attempt number of the attempt
     * @param lease lease of the slot that the attempt uses
     * @param request request to send, marked as retried if the attempt is a retry or hedge
     */
    record Send(int attempt, SlotLease lease, CallRequest request) implements CallAction {}

    /**
     * Releases a slot after the end of its attempt, or unused.
     *
     * @param lease lease of the slot
     * @param slotReturn outcome of the attempt and signals of the upstream
     */
    record Release(SlotLease lease, SlotReturn slotReturn) implements CallAction {}

    /**
     * Cancels an attempt in flight, because another one decided the result of the call.
     *
     * @param attempt number of the attempt
     */
    record Cancel(int attempt) implements CallAction {}

    /**
     * Schedules the check whether the call is hedged, {@link CallEvent.HedgeDelayElapsed}.
     *
     * @param delayNanos time from now until the check
     */
    record ScheduleHedge(long delayNanos) implements CallAction {}

    /**
     * Completes the call. This action is requested exactly once for each call.
     *
     * @param result result of the call
     */
    record Finish(CallResult result) implements CallAction {}
}
