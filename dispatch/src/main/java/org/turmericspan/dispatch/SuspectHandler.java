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
 * Lets suspected requests run one at a time in the region, and refuses quarantined ones. An idempotent request that
 * was on an upstream when it died is run again here, on trial, so that the innocent ones get their answers.
 */
public final class SuspectHandler implements CallHandler {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_WAITING = 64;
    private static final Duration ASK_AGAIN = Duration.ofMillis(20);
    private static final Duration SHORT_RETRY_AFTER = Duration.ofSeconds(1);

    private final CallHandler next;
    private final SuspectTable table;
    private final LostConnections lostConnections;
    private final SuspectCoordinator coordinator;
    private final AttemptTimer timer;
    private final MonotonicClock clock;
    private final AtomicInteger waiting = new AtomicInteger();

    /**
     * Creates a gate.
     *
     * @param next makes attempts
     * @param table what is suspected
     * @param lostConnections is told which suspect is on trial
     * @param coordinator gives the right to run a suspect
     * @param timer delays the next request for that right
     * @param clock measures deadlines
     */
    public SuspectHandler(
            CallHandler next,
            SuspectTable table,
            LostConnections lostConnections,
            SuspectCoordinator coordinator,
            AttemptTimer timer,
            MonotonicClock clock) {
        this.next = next;
        this.table = table;
        this.lostConnections = lostConnections;
        this.coordinator = coordinator;
        this.timer = timer;
        this.clock = clock;
    }

    @Override
    public CompletionStage<CallResult> handle(CallRequest request) {
        Optional<Suspicion> suspicion = suspicion(request);
        if (suspicion.isPresent()) {
            return judge(request, suspicion.get());
        }
        return next.handle(request).thenCompose(result -> runAgainIfSuspected(request, result));
    }

    private Optional<Suspicion> suspicion(CallRequest request) {
        return table.isEmpty() ? Optional.empty() : table.find(Fingerprint.of(request));
    }

    private CompletionStage<CallResult> runAgainIfSuspected(CallRequest request, CallResult result) {
        boolean isUnknown =
                result instanceof CallResult.Refused refused && refused.code() == ResultCode.OUTCOME_UNKNOWN;
        boolean mayRepeat = isUnknown && request.idempotent() && !request.retried();
        Optional<Suspicion> suspicion = mayRepeat ? suspicion(request) : Optional.empty();
        return suspicion
                .map(known -> judge(request.asRetried(), known).thenApply(second -> keepDoubt(result, second)))
                .orElseGet(() -> CompletableFuture.completedFuture(result));
    }

    /** Keeps saying that the request may have run, whatever became of the second run. */
    private static CallResult keepDoubt(CallResult first, CallResult second) {
        boolean saysNotRun =
                second instanceof CallResult.Refused refused && refused.code().ran() == Ran.NO;
        return saysNotRun ? first : second;
    }

    private CompletionStage<CallResult> judge(CallRequest request, Suspicion suspicion) {
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
                .thenCompose(answer -> answered(request, fingerprint, answer));
    }

    private CompletionStage<CallResult> answered(
            CallRequest request, Fingerprint fingerprint, SuspectCoordinator.TrialAnswer answer) {
        return switch (answer) {
            case GRANTED -> trial(request, fingerprint);
            case BUSY -> waitForTurn(request);
            case UNREACHABLE -> refused("The node that clears suspects cannot be reached.", SHORT_RETRY_AFTER);
        };
    }

    private CompletionStage<CallResult> trial(CallRequest request, Fingerprint fingerprint) {
        Optional<Suspicion> suspicion = table.find(fingerprint);
        if (suspicion.isEmpty() || suspicion.get().isQuarantined()) {
            coordinator.endTrial(fingerprint);
            return handle(request);
        }
        logger.atInfo().log("suspects: request %s runs alone", fingerprint);
        lostConnections.beginTrial(fingerprint);
        return next.handle(request.asRetried()).thenCompose(result -> {
            lostConnections.endTrial();
            coordinator.endTrial(fingerprint);
            return wasNotConnected(result) ? waitForTurn(request) : CompletableFuture.completedFuture(result);
        });
    }

    private static boolean wasNotConnected(CallResult result) {
        return result instanceof CallResult.Refused refused && refused.code() == ResultCode.REFUSED_BEFORE_SEND;
    }

    private CompletionStage<CallResult> waitForTurn(CallRequest request) {
        if (waiting.incrementAndGet() > MAX_WAITING) {
            waiting.decrementAndGet();
            return refused("Too many suspects wait for their turn.", SHORT_RETRY_AFTER);
        }
        CompletableFuture<CallRequest> turn = new CompletableFuture<>();
        timer.schedule(ASK_AGAIN, () -> {
            waiting.decrementAndGet();
            turn.complete(request);
        });
        return turn.thenCompose(this::handle);
    }

    private static CompletionStage<CallResult> refused(String detail, Duration retryAfter) {
        return CompletableFuture.completedFuture(
                new CallResult.Refused(ResultCode.QUARANTINED, detail, Optional.of(retryAfter)));
    }
}
