package org.turmericspan.dispatch;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.UpstreamExchange;
import org.turmericspan.errors.ResultCode;

/**
 * Carries out what {@link CallProgress} decides for one call. Events queue up and are handled one after another by
 * whichever thread brought the first, so no lock is held while other parts are called.
 */
final class CallRun {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Runnable NOTHING_SCHEDULED = () -> {};

    private final AttemptDependencies dependencies;
    private final CallRequest request;
    private final int answerLimitBytes;
    private final CallProgress progress;
    private final Queue<AttemptEvent> events = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();
    private final Map<Integer, UpstreamExchange> exchanges = new HashMap<>();
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private Runnable cancelHedge = NOTHING_SCHEDULED;

    CallRun(AttemptDependencies dependencies, RetryPolicies policies, CallRequest request, int answerLimitBytes) {
        this.dependencies = dependencies;
        this.request = request;
        this.answerLimitBytes = answerLimitBytes;
        this.progress = new CallProgress(request, policies);
    }

    CompletionStage<CallResult> start() {
        dependencies.metrics().recordCall(request.service());
        post(new AttemptEvent.Started());
        return result;
    }

    private void post(AttemptEvent event) {
        events.add(event);
        if (pending.getAndIncrement() > 0) {
            return;
        }
        do {
            handle(events.remove());
        } while (pending.decrementAndGet() > 0);
    }

    private void handle(AttemptEvent event) {
        try {
            progress.handle(event, dependencies.clock().nowNanos()).forEach(this::perform);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("attempts: a call failed inside the balancer");
            result.complete(
                    CallResult.Refused.of(ResultCode.INTERNAL, e.getClass().getSimpleName()));
        }
    }

    private void perform(AttemptAction action) {
        if (action instanceof AttemptAction.Acquire acquire) {
            acquire(acquire.attempt(), acquire.slotRequest());
        } else if (action instanceof AttemptAction.Send send) {
            send(send);
        } else if (action instanceof AttemptAction.Release release) {
            release.lease().release(release.slotReturn());
        } else if (action instanceof AttemptAction.Cancel cancel) {
            exchanges.get(cancel.attempt()).cancel();
        } else if (action instanceof AttemptAction.ScheduleHedge hedge) {
            cancelHedge = dependencies
                    .timer()
                    .schedule(Duration.ofNanos(hedge.delayNanos()), () -> post(new AttemptEvent.HedgeDue()));
        } else if (action instanceof AttemptAction.Finish finish) {
            cancelHedge.run();
            result.complete(finish.result());
        }
    }

    private void acquire(int attempt, SlotRequest request) {
        long wishedNanos = dependencies.clock().nowNanos();
        dependencies.slots().acquire(request).thenAccept(decision -> {
            dependencies
                    .metrics()
                    .recordSlotWait(Duration.ofNanos(dependencies.clock().nowNanos() - wishedNanos));
            post(new AttemptEvent.Decided(attempt, decision));
        });
    }

    private void send(AttemptAction.Send send) {
        if (send.request() != request) {
            dependencies.metrics().recordExtraAttempt();
        }
        UpstreamExchange exchange = dependencies.sender().send(send.lease(), send.request(), answerLimitBytes);
        exchanges.put(send.attempt(), exchange);
        exchange.outcome().thenAccept(outcome -> ended(send, outcome));
    }

    private void ended(AttemptAction.Send send, AttemptOutcome outcome) {
        if (outcome.kind() == AttemptOutcome.Kind.CONNECTION_LOST) {
            dependencies
                    .crashDetector()
                    .connectionLost(request, send.lease(), outcome)
                    .thenAccept(died -> post(new AttemptEvent.Replied(send.attempt(), outcome, died)));
            return;
        }
        if (outcome.kind() == AttemptOutcome.Kind.COMPLETE) {
            dependencies.metrics().recordResponse(request.service(), outcome.elapsed());
            dependencies.crashDetector().responseReceived(request, send.lease(), outcome);
        }
        post(new AttemptEvent.Replied(send.attempt(), outcome, false));
    }
}
