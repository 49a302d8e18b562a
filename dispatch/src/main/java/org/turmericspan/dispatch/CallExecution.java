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
 * Performs the actions that {@link CallStateMachine} requests for one call. Events are queued and handled one at a time
 * by the thread that posted an event when none was pending, so that no lock is held while collaborators are called.
 */
final class CallExecution {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Runnable NOTHING_SCHEDULED = () -> {};

    private final AttemptDependencies dependencies;
    private final CallRequest request;
    private final int maxResponseBytes;
    private final CallStateMachine stateMachine;
    private final Queue<CallEvent> events = new ConcurrentLinkedQueue<>();

    /** Number of events that are queued or being handled. The thread that raises it from 0 handles all of them. */
    private final AtomicInteger pendingEventCount = new AtomicInteger();

    private final Map<Integer, UpstreamExchange> exchangeByAttempt = new HashMap<>();
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private Runnable cancelHedgeCheck = NOTHING_SCHEDULED;

    CallExecution(AttemptDependencies dependencies, RetryPolicies policies, CallRequest request, int maxResponseBytes) {
        this.dependencies = dependencies;
        this.request = request;
        this.maxResponseBytes = maxResponseBytes;
        this.stateMachine = new CallStateMachine(request, policies);
    }

    CompletionStage<CallResult> start() {
        dependencies.metrics().recordCall(request.service());
        post(new CallEvent.Started());
        return result;
    }

    private void post(CallEvent event) {
        events.add(event);
        if (pendingEventCount.getAndIncrement() > 0) {
            return;
        }
        do {
            handle(events.remove());
        } while (pendingEventCount.decrementAndGet() > 0);
    }

    private void handle(CallEvent event) {
        try {
            stateMachine.handle(event, dependencies.clock().nowNanos()).forEach(this::perform);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log(
                    "attempts: handling an event of a call failed, the call ends with an internal error");
            result.complete(
                    CallResult.Refused.of(ResultCode.INTERNAL, e.getClass().getSimpleName()));
        }
    }

    private void perform(CallAction action) {
        if (action instanceof CallAction.Acquire acquire) {
            acquire(acquire.attempt(), acquire.slotRequest());
        } else if (action instanceof CallAction.Send send) {
            send(send);
        } else if (action instanceof CallAction.Release release) {
            release.lease().release(release.slotReturn());
        } else if (action instanceof CallAction.Cancel cancel) {
            exchangeByAttempt.get(cancel.attempt()).cancel();
        } else if (action instanceof CallAction.ScheduleHedge hedge) {
            cancelHedgeCheck = dependencies
                    .timer()
                    .schedule(Duration.ofNanos(hedge.delayNanos()), () -> post(new CallEvent.HedgeDelayElapsed()));
        } else if (action instanceof CallAction.Finish finish) {
            cancelHedgeCheck.run();
            result.complete(finish.result());
        }
    }

    private void acquire(int attempt, SlotRequest slotRequest) {
        long requestedNanos = dependencies.clock().nowNanos();
        dependencies.slots().acquire(slotRequest).thenAccept(decision -> {
            dependencies
                    .metrics()
                    .recordSlotWait(Duration.ofNanos(dependencies.clock().nowNanos() - requestedNanos));
            post(new CallEvent.SlotDecided(attempt, decision));
        });
    }

    private void send(CallAction.Send send) {
        if (send.request() != request) {
            dependencies.metrics().recordExtraAttempt();
        }
        UpstreamExchange exchange = dependencies.sender().send(send.lease(), send.request(), maxResponseBytes);
        exchangeByAttempt.put(send.attempt(), exchange);
        exchange.outcome().thenAccept(outcome -> onAttemptEnded(send, outcome));
    }

    private void onAttemptEnded(CallAction.Send send, AttemptOutcome outcome) {
        if (outcome.kind() == AttemptOutcome.Kind.CONNECTION_LOST) {
            dependencies
                    .crashDetector()
                    .connectionLost(request, send.lease(), outcome)
                    .thenAccept(crashed -> post(new CallEvent.AttemptEnded(send.attempt(), outcome, crashed)));
            return;
        }
        if (outcome.kind() == AttemptOutcome.Kind.COMPLETE) {
            dependencies.metrics().recordResponse(request.service(), outcome.elapsed());
            dependencies.crashDetector().responseReceived(request, send.lease(), outcome);
        }
        post(new CallEvent.AttemptEnded(send.attempt(), outcome, false));
    }
}
