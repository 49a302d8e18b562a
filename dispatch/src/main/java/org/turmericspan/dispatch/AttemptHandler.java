package org.turmericspan.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.errors.ResultCode;

/** Makes the attempts of calls: takes a slot, sends under it, repeats where that is safe, and answers once. */
public final class AttemptHandler implements CallHandler {
    private final AttemptDependencies dependencies;
    private final RetryPolicies policies;

    /**
     * Creates a handler.
     *
     * @param dependencies what attempts are made with
     * @param policies decides on repeats
     */
    public AttemptHandler(AttemptDependencies dependencies, RetryPolicies policies) {
        this.dependencies = dependencies;
        this.policies = policies;
    }

    @Override
    public CompletionStage<CallResult> handle(CallRequest request) {
        return dependencies
                .catalog()
                .limits(request.service())
                .map(limits -> new CallRun(dependencies, policies, request, limits.answerLimitBytes()).start())
                .orElseGet(() -> CompletableFuture.completedFuture(
                        CallResult.Refused.of(ResultCode.NOT_CONFIGURED, "The service has gone.")));
    }
}
