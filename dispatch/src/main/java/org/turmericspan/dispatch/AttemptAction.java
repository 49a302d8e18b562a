package org.turmericspan.dispatch;

import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;

/** Something to do for a call. */
sealed interface AttemptAction {
    /**
     * Wish for a slot.
     *
     * @param attempt number of the attempt
     * @param slotRequest what to wish for
     */
    record Acquire(int attempt, SlotRequest slotRequest) implements AttemptAction {}

    /**
     * Send an attempt.
     *
     * @param attempt its number
     * @param lease slot under which it runs
     * @param request what to send
     */
    record Send(int attempt, SlotLease lease, CallRequest request) implements AttemptAction {}

    /**
     * Give a slot back.
     *
     * @param lease the slot
     * @param slotReturn what the attempt showed
     */
    record Release(SlotLease lease, SlotReturn slotReturn) implements AttemptAction {}

    /**
     * Cancel an attempt that lost.
     *
     * @param attempt its number
     */
    record Cancel(int attempt) implements AttemptAction {}

    /**
     * Report {@link AttemptEvent.HedgeDue} later.
     *
     * @param delayNanos time to wait
     */
    record ScheduleHedge(long delayNanos) implements AttemptAction {}

    /**
     * Answer the caller. It comes exactly once in the life of a call.
     *
     * @param result the result
     */
    record Finish(CallResult result) implements AttemptAction {}
}
