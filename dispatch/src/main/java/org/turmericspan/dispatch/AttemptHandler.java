package org.turmericspan.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.errors.ResultCode;

/** Makes the attempts of calls: takes a slot, sends under it, repeats where that is safe, and answers once. */
public final class AttemptHandler implements CallHandler {
    private final AttemptParts parts;
    private final RepeatPolicies policies;

    /**
     * Creates a handler.
     *
     * @param parts what attempts are made with
     * @param policies decides on repeats
     */
    public AttemptHandler(AttemptParts parts, RepeatPolicies policies) {
        this.parts = parts;
        this.policies = policies;
    }

    @Override
    public CompletionStage<CallResult> handle(CallRequest request) {
        return parts.catalog()
                .limits(request.service())
                .map(limits -> new CallRun(parts, policies, request, limits.answerLimitBytes()).start())
                .orElseGet(() -> CompletableFuture.completedFuture(
                        CallResult.Refused.of(ResultCode.NOT_CONFIGURED, "The service has gone.")));
    }
}
