package org.turmericspan.dispatch;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.errors.Ran;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.retry.Fingerprint;
import org.turmericspan.retry.LostConnections;
import org.turmericspan.retry.SuspectTable;
import org.turmericspan.retry.Suspicion;

/**
 * Sends requests that are suspected of crashing upstreams as isolated trials, one at a time in the region, and refuses
 * quarantined ones. An idempotent request that was running on an upstream when the upstream crashed is sent again as a
 * trial, so that the requests that did not cause the crash get their responses.
 */
public final class SuspectHandler implements CallHandler {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Number of suspected requests on this node that may wait until they request a trial permit again. */
    private static final int MAX_DELAYED_TRIALS = 64;

    /** Delay after which a trial permit is requested again. */
    private static final Duration TRIAL_RETRY_DELAY = Duration.ofMillis(20);

    /** Retry time of the refusal of a suspect that is not quarantined; the quarantine has its own remaining time. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    private final CallHandler next;
    private final SuspectTable suspectTable;
    private final LostConnections lostConnections;
    private final SuspectCoordinator coordinator;
    private final AttemptTimer timer;
    private final MonotonicClock clock;
    private final AtomicInteger delayedTrialCount = new AtomicInteger();

    /**
     * Creates a handler.
     *
     * @param next next handler in the handler chain, which sends the request to an upstream
     * @param suspectTable suspected and quarantined requests
     * @param lostConnections keeps which suspected request this node has on trial
     * @param coordinator grants trial permits
     * @param timer schedules the next request for a trial permit
     * @param clock clock that deadlines refer to
     */
    public SuspectHandler(
            CallHandler next,
            SuspectTable suspectTable,
            LostConnections lostConnections,
            SuspectCoordinator coordinator,
            AttemptTimer timer,
            MonotonicClock clock) {
        this.next = next;
        this.suspectTable = suspectTable;
        this.lostConnections = lostConnections;
        this.coordinator = coordinator;
        this.timer = timer;
        this.clock = clock;
    }

    @Override
    public CompletionStage<CallResult> handle(CallRequest request) {
        Optional<Suspicion> suspicion = findSuspicion(request);
        if (suspicion.isPresent()) {
            return handleSuspect(request, suspicion.get());
        }
        return next.handle(request).thenCompose(result -> rerunIfSuspected(request, result));
    }

    private Optional<Suspicion> findSuspicion(CallRequest request) {
        return suspectTable.isEmpty() ? Optional.empty() : suspectTable.find(Fingerprint.of(request));
    }

    private CompletionStage<CallResult> rerunIfSuspected(CallRequest request, CallResult result) {
        boolean isUnknown =
                result instanceof CallResult.Refused refused && refused.code() == ResultCode.OUTCOME_UNKNOWN;
        boolean mayRerun = isUnknown && request.idempotent() && !request.retried();
        Optional<Suspicion> suspicion = mayRerun ? findSuspicion(request) : Optional.empty();
        return suspicion
                .map(found -> handleSuspect(request.asRetried(), found)
                        .thenApply(second -> preserveUnknownOutcome(result, second)))
                .orElseGet(() -> CompletableFuture.completedFuture(result));
    }

    /** Returns the first result if the second one reports the call as not run, since the first attempt may have run. */
    private static CallResult preserveUnknownOutcome(CallResult first, CallResult second) {
        boolean isReportedAsNotRun =
                second instanceof CallResult.Refused refused && refused.code().ran() == Ran.NO;
        return isReportedAsNotRun ? first : second;
    }

    private CompletionStage<CallResult> handleSuspect(CallRequest request, Suspicion suspicion) {
        if (suspicion.isQuarantined()) {
            return refused("Such requests were running when upstreams died.", suspicion.remaining());
        }
        long remainingNanos = request.deadlineNanos() - clock.nowNanos();
        if (remainingNanos <= 0) {
            return CompletableFuture.completedFuture(CallResult.Refused.of(
                    ResultCode.DEADLINE_BEFORE_SEND, "The request waited for another suspect to finish."));
        }
        Fingerprint fingerprint = suspicion.fingerprint();
        return coordinator
                .requestTrial(fingerprint, Duration.ofNanos(remainingNanos))
                .thenCompose(decision -> onTrialDecision(request, fingerprint, decision));
    }

    private CompletionStage<CallResult> onTrialDecision(
            CallRequest request, Fingerprint fingerprint, SuspectCoordinator.TrialAnswer decision) {
        return switch (decision) {
            case GRANTED -> runTrial(request, fingerprint);
            case BUSY -> retryTrialLater(request);
            case UNREACHABLE -> refused("The node that clears suspects cannot be reached.", DEFAULT_RETRY_AFTER);
        };
    }

    private CompletionStage<CallResult> runTrial(CallRequest request, Fingerprint fingerprint) {
        Optional<Suspicion> suspicion = suspectTable.find(fingerprint);
        if (suspicion.isEmpty() || suspicion.get().isQuarantined()) {
            coordinator.endTrial(fingerprint);
            return handle(request);
        }
        logger.atInfo().log("suspects: request %s starts an isolated trial", fingerprint);
        lostConnections.beginTrial(fingerprint);
        return next.handle(request.asRetried()).thenCompose(result -> {
            lostConnections.endTrial();
            coordinator.endTrial(fingerprint);
            return failedToConnect(result) ? retryTrialLater(request) : CompletableFuture.completedFuture(result);
        });
    }

    private static boolean failedToConnect(CallResult result) {
        return result instanceof CallResult.Refused refused && refused.code() == ResultCode.REFUSED_BEFORE_SEND;
    }

    private CompletionStage<CallResult> retryTrialLater(CallRequest request) {
        if (delayedTrialCount.incrementAndGet() > MAX_DELAYED_TRIALS) {
            delayedTrialCount.decrementAndGet();
            return refused("Too many suspects wait for their turn.", DEFAULT_RETRY_AFTER);
        }
        CompletableFuture<CallRequest> retry = new CompletableFuture<>();
        timer.schedule(TRIAL_RETRY_DELAY, () -> {
            delayedTrialCount.decrementAndGet();
            retry.complete(request);
        });
        return retry.thenCompose(this::handle);
    }

    private static CompletionStage<CallResult> refused(String detail, Duration retryAfter) {
        return CompletableFuture.completedFuture(
                new CallResult.Refused(ResultCode.QUARANTINED, detail, Optional.of(retryAfter)));
    }
}
