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
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.SlotWish;
import org.turmericspan.calls.UpstreamExchange;
import org.turmericspan.calls.UpstreamReply;
import org.turmericspan.errors.ResultCode;

/**
 * Carries out what {@link CallProgress} decides for one call. Events queue up and are handled one after another by
 * whichever thread brought the first, so no lock is held while other parts are called.
 */
final class CallRun {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Runnable NOTHING_SCHEDULED = () -> {};

    private final AttemptParts parts;
    private final CallRequest request;
    private final int answerLimitBytes;
    private final CallProgress progress;
    private final Queue<AttemptEvent> events = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pending = new AtomicInteger();
    private final Map<Integer, UpstreamExchange> exchanges = new HashMap<>();
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private Runnable cancelHedge = NOTHING_SCHEDULED;

    CallRun(AttemptParts parts, RepeatPolicies policies, CallRequest request, int answerLimitBytes) {
        this.parts = parts;
        this.request = request;
        this.answerLimitBytes = answerLimitBytes;
        this.progress = new CallProgress(request, policies);
    }

    CompletionStage<CallResult> start() {
        parts.metrics().call(request.service());
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
            progress.handle(event, parts.clock().nowNanos()).forEach(this::perform);
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("attempts: a call failed inside the balancer");
            result.complete(
                    CallResult.Refused.of(ResultCode.INTERNAL, e.getClass().getSimpleName()));
        }
    }

    private void perform(AttemptAction action) {
        if (action instanceof AttemptAction.Acquire acquire) {
            acquire(acquire.attempt(), acquire.wish());
        } else if (action instanceof AttemptAction.Send send) {
            send(send);
        } else if (action instanceof AttemptAction.Release release) {
            release.lease().release(release.slotReturn());
        } else if (action instanceof AttemptAction.Cancel cancel) {
            exchanges.get(cancel.attempt()).cancel();
        } else if (action instanceof AttemptAction.ScheduleHedge hedge) {
            cancelHedge = parts.timer()
                    .schedule(Duration.ofNanos(hedge.delayNanos()), () -> post(new AttemptEvent.HedgeDue()));
        } else if (action instanceof AttemptAction.Finish finish) {
            cancelHedge.run();
            result.complete(finish.result());
        }
    }

    private void acquire(int attempt, SlotWish wish) {
        long wishedNanos = parts.clock().nowNanos();
        parts.slots().acquire(wish).thenAccept(decision -> {
            parts.metrics().decided(Duration.ofNanos(parts.clock().nowNanos() - wishedNanos));
            post(new AttemptEvent.Decided(attempt, decision));
        });
    }

    private void send(AttemptAction.Send send) {
        if (send.request() != request) {
            parts.metrics().repeat();
        }
        UpstreamExchange exchange = parts.sender().send(send.lease(), send.request(), answerLimitBytes);
        exchanges.put(send.attempt(), exchange);
        exchange.reply().thenAccept(reply -> ended(send, reply));
    }

    private void ended(AttemptAction.Send send, UpstreamReply reply) {
        if (reply.kind() == UpstreamReply.Kind.BROKEN) {
            parts.deaths()
                    .lost(request, send.lease(), reply)
                    .thenAccept(died -> post(new AttemptEvent.Replied(send.attempt(), reply, died)));
            return;
        }
        if (reply.kind() == UpstreamReply.Kind.WHOLE) {
            parts.metrics().answer(request.service(), reply.elapsed());
            parts.deaths().answered(request, send.lease(), reply);
        }
        post(new AttemptEvent.Replied(send.attempt(), reply, false));
    }
}
