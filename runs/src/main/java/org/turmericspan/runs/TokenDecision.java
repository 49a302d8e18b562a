package org.turmericspan.runs;

import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.CallResult;
import org.turmericspan.errors.ResultCode;

/** Decision of the run table whether a request with a run token is started, joined to an earlier run, or refused. */
sealed interface TokenDecision {
    /**
     * The request must be started now. The table decides so only once for a token.
     *
     * @param run new entry of the run table, to be completed with the outcome
     */
    record Start(Run run) implements TokenDecision {}

    /**
     * The request is a duplicate of one that was started before.
     *
     * @param outcome outcome of the run, which may still be in flight
     */
    record Duplicate(CompletionStage<CallResult> outcome) implements TokenDecision {}

    /**
     * The request must not be started.
     *
     * @param code result code of the refusal, which the caller receives
     */
    record Refuse(ResultCode code) implements TokenDecision {}
}
