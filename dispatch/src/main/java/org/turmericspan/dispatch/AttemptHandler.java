package org.turmericspan.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.errors.ResultCode;

/**
 * Sends calls to upstreams. Each attempt needs the lease of a slot of its upstream. A call is retried or hedged only
 * where that is safe, and each call gets exactly one result.
 */
public final class AttemptHandler implements CallHandler {
    private final AttemptDependencies dependencies;
    private final RetryPolicies policies;

    /**
     * Creates a handler.
     *
     * @param dependencies collaborators
     * @param policies policies that decide on retries and hedges
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
                .map(limits -> new CallExecution(dependencies, policies, request, limits.answerLimitBytes()).start())
                .orElseGet(() -> CompletableFuture.completedFuture(
                        CallResult.Refused.of(ResultCode.NOT_CONFIGURED, "The service has gone.")));
    }
}
