package org.turmericspan.runs;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.ServiceCatalog;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.RunToken;

/**
 * Lets each request with a run token start at most once, and only on the node that owns the token. Idempotent requests
 * without a token pass untouched.
 */
public final class RunTokenHandler implements CallHandler {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Incarnation incarnation;
    private final ServiceCatalog catalog;
    private final RunTable table;
    private final RunRelay relay;
    private final CallHandler next;
    private final MonotonicClock clock;
    private final TaskScheduler taskScheduler;

    /**
     * Creates a gate.
     *
     * @param incarnation this life of the node
     * @param catalog tells which requests need a token
     * @param table runs of this life of the node
     * @param relay relays requests to the owners of their tokens
     * @param next starts a run
     * @param clock measures deadlines
     * @param taskScheduler ends the wait of a repeat at its deadline
     */
    public RunTokenHandler(
            Incarnation incarnation,
            ServiceCatalog catalog,
            RunTable table,
            RunRelay relay,
            CallHandler next,
            MonotonicClock clock,
            TaskScheduler taskScheduler) {
        this.incarnation = incarnation;
        this.catalog = catalog;
        this.table = table;
        this.relay = relay;
        this.next = next;
        this.clock = clock;
        this.taskScheduler = taskScheduler;
    }

    @Override
    public CompletionStage<CallResult> handle(CallRequest request) {
        if (request.runToken().isEmpty()) {
            return handleWithoutToken(request);
        }
        RunToken token = request.runToken().get();
        if (!token.caller().equals(request.caller())) {
            return refused(ResultCode.RUN_TOKEN_OF_ANOTHER_CALLER, "");
        }
        return token.incarnation().equals(incarnation)
                ? runOnce(request, token)
                : relay.relay(request, token.incarnation());
    }

    /**
     * Handles a call that another node relayed. It is never relayed again.
     *
     * @param request the call
     * @return the result; the stage never completes exceptionally
     */
    public CompletionStage<CallResult> handleRelayed(CallRequest request) {
        boolean isOwner = request.runToken()
                .filter(token -> token.incarnation().equals(incarnation))
                .isPresent();
        return isOwner ? handle(request) : refused(ResultCode.OWNER_UNREACHABLE, "The owner has restarted.");
    }

    private CompletionStage<CallResult> handleWithoutToken(CallRequest request) {
        if (request.idempotent() || !catalog.requiresRunToken(request.service(), request.method(), request.path())) {
            return next.handle(request);
        }
        return refused(ResultCode.RUN_TOKEN_MISSING, "Ask /v1/locate for incarnation and epoch.");
    }

    private CompletionStage<CallResult> runOnce(CallRequest request, RunToken token) {
        RunDecision decision = table.admit(token, request.office(), RequestDigest.of(request));
        if (decision instanceof RunDecision.Start start) {
            start(start.run(), request.asNonIdempotent());
            return start.run().outcome();
        }
        if (decision instanceof RunDecision.Repeat repeat) {
            return waitFor(repeat.outcome(), request.deadlineNanos());
        }
        return refused(((RunDecision.Refuse) decision).code(), "");
    }

    private void start(Run run, CallRequest request) {
        CompletionStage<CallResult> outcome;
        try {
            outcome = next.handle(request);
        } catch (RuntimeException e) {
            outcome = CompletableFuture.failedFuture(e);
        }
        outcome.whenComplete((result, failure) -> finish(run, failure == null ? result : internal(failure)));
    }

    private void finish(Run run, CallResult result) {
        table.finish(run, result);
        run.outcome().complete(result);
    }

    private static CallResult internal(Throwable failure) {
        logger.atSevere().withCause(failure).log("runs: a run ended with an exception, its outcome is unknown");
        return CallResult.Refused.of(ResultCode.INTERNAL, failure.getClass().getSimpleName());
    }

    private CompletionStage<CallResult> waitFor(CompletionStage<CallResult> outcome, long deadlineNanos) {
        CompletableFuture<CallResult> waiting = outcome.toCompletableFuture().copy();
        if (!waiting.isDone()) {
            Duration remaining = Duration.ofNanos(Math.max(0, deadlineNanos - clock.nowNanos()));
            taskScheduler.schedule(remaining, () -> waiting.complete(deadlinePassed()));
        }
        return waiting;
    }

    private static CallResult deadlinePassed() {
        return CallResult.Refused.of(ResultCode.DEADLINE_AFTER_SEND, "The request is still in flight.");
    }

    private static CompletionStage<CallResult> refused(ResultCode code, String detail) {
        return CompletableFuture.completedFuture(CallResult.Refused.of(code, detail));
    }
}
