package org.turmericspan.calls;

import java.util.concurrent.CompletionStage;

/** Handler in the handler chain of a call. Each handler wraps the next one. */
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
