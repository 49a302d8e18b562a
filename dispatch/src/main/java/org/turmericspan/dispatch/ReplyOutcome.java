package org.turmericspan.dispatch;

import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.UpstreamReply;
import org.turmericspan.errors.ResultCode;

/** Says what a reply means for the caller and for the upstream's slots. */
final class ReplyOutcome {
    private ReplyOutcome() {}

    static CallResult result(UpstreamReply reply) {
        return switch (reply.kind()) {
            case WHOLE -> reply.answer();
            case SHED -> refused(ResultCode.SHED_BY_UPSTREAM);
            case NOT_CONNECTED -> refused(ResultCode.REFUSED_BEFORE_SEND);
            case LEASE_VOID -> refused(ResultCode.NO_CAPACITY);
            case CANCELLED_UNSENT -> refused(ResultCode.DEADLINE_BEFORE_SEND);
            case BROKEN, CANCELLED_SENT -> refused(ResultCode.OUTCOME_UNKNOWN);
            case TIMED_OUT -> refused(ResultCode.DEADLINE_AFTER_SEND);
            case ANSWER_TOO_LARGE -> refused(ResultCode.ANSWER_TOO_LARGE);
        };
    }

    static SlotReturn slotReturn(UpstreamReply reply) {
        return new SlotReturn(outcome(reply.kind()), reply.elapsed(), reply.signals());
    }

    private static SlotReturn.Outcome outcome(UpstreamReply.Kind kind) {
        return switch (kind) {
            case WHOLE, ANSWER_TOO_LARGE -> SlotReturn.Outcome.ANSWERED;
            case SHED -> SlotReturn.Outcome.SHED;
            case NOT_CONNECTED -> SlotReturn.Outcome.CONNECTION_REFUSED;
            case BROKEN -> SlotReturn.Outcome.CONNECTION_LOST;
            case TIMED_OUT -> SlotReturn.Outcome.TIMED_OUT;
            case CANCELLED_SENT -> SlotReturn.Outcome.CANCELLED;
            case LEASE_VOID, CANCELLED_UNSENT -> SlotReturn.Outcome.NOT_SENT;
        };
    }

    private static CallResult refused(ResultCode code) {
        return CallResult.Refused.of(code, "");
    }
}
