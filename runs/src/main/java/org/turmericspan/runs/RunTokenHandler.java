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
 * Starts each request with a run token at most once, and only on the node that owns the token. The token works as an
 * idempotency key that is bound to one incarnation of one node, that is to one start of its process. A request without
 * a token passes unchanged, unless it is not idempotent and the catalog requires a token for it.
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
     * Creates a handler.
     *
     * @param incarnation incarnation of this node, which the tokens that it owns are bound to
     * @param catalog determines which requests require a token
     * @param table runs of this incarnation of the node
     * @param relay relays requests to the token owners
     * @param next next handler in the handler chain, which sends the request to an upstream
     * @param clock clock that deadlines refer to
     * @param taskScheduler schedules the end of the wait of a duplicate request, at its deadline
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
     * Handles a call that another node relayed. It is never relayed again, but refused when this node does not own its
     * token.
     *
     * @param request call whose deadline refers to the clock of this process
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
        TokenDecision decision = table.admit(token, request.office(), RequestDigest.of(request));
        if (decision instanceof TokenDecision.Start start) {
            start(start.run(), request.asNonIdempotent());
            return start.run().outcome();
        }
        if (decision instanceof TokenDecision.Duplicate duplicate) {
            return awaitUntilDeadline(duplicate.outcome(), request.deadlineNanos());
        }
        return refused(((TokenDecision.Refuse) decision).code(), "");
    }

    private void start(Run run, CallRequest request) {
        CompletionStage<CallResult> outcome;
        try {
            outcome = next.handle(request);
        } catch (RuntimeException e) {
            outcome = CompletableFuture.failedFuture(e);
        }
        outcome.whenComplete((result, failure) -> finish(run, failure == null ? result : internalError(failure)));
    }

    private void finish(Run run, CallResult result) {
        table.finish(run, result);
        run.outcome().complete(result);
    }

    private static CallResult internalError(Throwable failure) {
        logger.atSevere().withCause(failure).log("runs: a run failed with an exception, its outcome is unknown");
        return CallResult.Refused.of(ResultCode.INTERNAL, failure.getClass().getSimpleName());
    }

    private CompletionStage<CallResult> awaitUntilDeadline(CompletionStage<CallResult> outcome, long deadlineNanos) {
        CompletableFuture<CallResult> pendingResult =
                outcome.toCompletableFuture().copy();
        if (!pendingResult.isDone()) {
            Duration remaining = Duration.ofNanos(Math.max(0, deadlineNanos - clock.nowNanos()));
            taskScheduler.schedule(remaining, () -> pendingResult.complete(deadlineExceeded()));
        }
        return pendingResult;
    }

    private static CallResult deadlineExceeded() {
        return CallResult.Refused.of(ResultCode.DEADLINE_AFTER_SEND, "The request is still in flight.");
    }

    private static CompletionStage<CallResult> refused(ResultCode code, String detail) {
        return CompletableFuture.completedFuture(CallResult.Refused.of(code, detail));
    }
}
