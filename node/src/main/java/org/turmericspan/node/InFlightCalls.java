package org.turmericspan.node;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;

/** Counts the calls in flight, so that a planned stop can wait until all of them have completed. */
final class InFlightCalls implements CallHandler {
    private final CallHandler next;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile CompletableFuture<Void> idleSignal;

    InFlightCalls(CallHandler next) {
        this.next = next;
    }

    @Override
    public CompletionStage<CallResult> handle(CallRequest request) {
        return count(() -> next.handle(request));
    }

    /**
     * Wraps another handler, so that its calls are counted too.
     *
     * @param other a handler
     * @return a handler that counts each call and passes it on
     */
    CallHandler counting(CallHandler other) {
        return request -> count(() -> other.handle(request));
    }

    int inFlight() {
        return inFlight.get();
    }

    /**
     * Returns a stage that completes when no call is in flight. Only the latest stage returned is completed by later
     * calls, so one waiter at a time is supported.
     *
     * @return stage that completes as soon as the count is zero
     */
    CompletionStage<Void> whenIdle() {
        CompletableFuture<Void> signal = new CompletableFuture<>();
        idleSignal = signal;
        if (inFlight.get() == 0) {
            signal.complete(null);
        }
        return signal;
    }

    private CompletionStage<CallResult> count(Supplier<CompletionStage<CallResult>> call) {
        inFlight.incrementAndGet();
        try {
            return call.get().whenComplete((result, failure) -> recordEnd());
        } catch (RuntimeException e) {
            recordEnd();
            throw e;
        }
    }

    private void recordEnd() {
        CompletableFuture<Void> signal = inFlight.decrementAndGet() == 0 ? idleSignal : null;
        if (signal != null) {
            signal.complete(null);
        }
    }
}
