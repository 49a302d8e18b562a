package org.turmericspan.runs;

import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.CallResult;
import org.turmericspan.errors.ResultCode;

/** What the table of runs says of a request with a run token. */
sealed interface RunDecision {
    /**
     * The request is to be started now, and by this caller of the table alone.
     *
     * @param run the run that begins
     */
    record Start(Run run) implements RunDecision {}

    /**
     * The request was started before.
     *
     * @param outcome its outcome, complete or to come
     */
    record Repeat(CompletionStage<CallResult> outcome) implements RunDecision {}

    /**
     * The request must not be started.
     *
     * @param code why
     */
    record Refuse(ResultCode code) implements RunDecision {}
}
