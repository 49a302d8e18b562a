package org.turmericspan.dispatch;

import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;

/** Action that {@link CallStateMachine} requests and {@link CallExecution} performs. */
sealed interface CallAction {
    /**
     * Requests a slot.
     *
     * @param attempt number of the attempt
     * @param slotRequest request to pass to the slot source
     */
    record Acquire(int attempt, SlotRequest slotRequest) implements CallAction {}

    /**
     * Sends an attempt.
     *
     * @param attempt number of the attempt
     * @param lease slot that the attempt uses
     * @param request request to send
     */
    record Send(int attempt, SlotLease lease, CallRequest request) implements CallAction {}

    /**
     * Releases a slot.
     *
     * @param lease lease of the slot
     * @param slotReturn outcome of the attempt and signals of the upstream
     */
    record Release(SlotLease lease, SlotReturn slotReturn) implements CallAction {}

    /**
     * Cancels an attempt, because another one decided the result of the call.
     *
     * @param attempt number of the attempt
     */
    record Cancel(int attempt) implements CallAction {}

    /**
     * Schedules {@link CallEvent.HedgeDelayElapsed}.
     *
     * @param delayNanos delay in nanoseconds
     */
    record ScheduleHedge(long delayNanos) implements CallAction {}

    /**
     * Completes the call. This action is requested exactly once for each call.
     *
     * @param result result of the call
     */
    record Finish(CallResult result) implements CallAction {}
}
