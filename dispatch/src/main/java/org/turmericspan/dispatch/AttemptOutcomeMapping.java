package org.turmericspan.dispatch;

import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.errors.ResultCode;

/** Maps the outcome of an attempt to the result of its call, and to what is reported when its slot is released. */
final class AttemptOutcomeMapping {
    private AttemptOutcomeMapping() {}

    static CallResult toCallResult(AttemptOutcome outcome) {
        return switch (outcome.kind()) {
            case COMPLETE -> outcome.answer();
            case SHED -> refused(ResultCode.SHED_BY_UPSTREAM);
            case CONNECT_FAILED -> refused(ResultCode.REFUSED_BEFORE_SEND);
            case LEASE_INVALID -> refused(ResultCode.NO_CAPACITY);
            case CANCELLED_BEFORE_SEND -> refused(ResultCode.DEADLINE_BEFORE_SEND);
            case CONNECTION_LOST, CANCELLED_AFTER_SEND -> refused(ResultCode.OUTCOME_UNKNOWN);
            case TIMED_OUT -> refused(ResultCode.DEADLINE_AFTER_SEND);
            case ANSWER_TOO_LARGE -> refused(ResultCode.ANSWER_TOO_LARGE);
        };
    }

    static SlotReturn toSlotReturn(AttemptOutcome outcome) {
        return new SlotReturn(toSlotOutcome(outcome.kind()), outcome.elapsed(), outcome.signals());
    }

    private static SlotReturn.Outcome toSlotOutcome(AttemptOutcome.Kind kind) {
        return switch (kind) {
            case COMPLETE, ANSWER_TOO_LARGE -> SlotReturn.Outcome.ANSWERED;
            case SHED -> SlotReturn.Outcome.SHED;
            case CONNECT_FAILED -> SlotReturn.Outcome.CONNECTION_REFUSED;
            case CONNECTION_LOST -> SlotReturn.Outcome.CONNECTION_LOST;
            case TIMED_OUT -> SlotReturn.Outcome.TIMED_OUT;
            case CANCELLED_AFTER_SEND -> SlotReturn.Outcome.CANCELLED;
            case LEASE_INVALID, CANCELLED_BEFORE_SEND -> SlotReturn.Outcome.NOT_SENT;
        };
    }

    private static CallResult refused(ResultCode code) {
        return CallResult.Refused.of(code, "");
    }
}
