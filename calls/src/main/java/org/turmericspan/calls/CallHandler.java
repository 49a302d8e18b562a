package org.turmericspan.calls;

import java.util.concurrent.CompletionStage;

/** One step of a call's path. Steps wrap one another. */
@FunctionalInterface
public interface CallHandler {
    /**
     * Handles a call without blocking.
     *
     * @param request the call
     * @return the result; the stage never completes exceptionally
     */
    CompletionStage<CallResult> handle(CallRequest request);
}
