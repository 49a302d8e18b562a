package org.turmericspan.node;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;

/** Counts the calls in flight, so that a planned stop can wait for the last of them. */
final class InFlightCalls implements CallHandler {
    private final CallHandler next;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile CompletableFuture<Void> idle;

    InFlightCalls(CallHandler next) {
        this.next = next;
    }

    @Override
    public CompletionStage<CallResult> handle(CallRequest request) {
        return count(() -> next.handle(request));
    }

    /**
     * Wraps another handler whose calls count as well.
     *
     * @param other a handler
     * @return the handler, with its calls counted
     */
    CallHandler counting(CallHandler other) {
        return request -> count(() -> other.handle(request));
    }

    int inFlight() {
        return inFlight.get();
    }

    /**
     * Waits without blocking until no call is in flight.
     *
     * @return complete as soon as the count is zero
     */
    CompletionStage<Void> whenIdle() {
        CompletableFuture<Void> waiting = new CompletableFuture<>();
        idle = waiting;
        if (inFlight.get() == 0) {
            waiting.complete(null);
        }
        return waiting;
    }

    private CompletionStage<CallResult> count(Supplier<CompletionStage<CallResult>> call) {
        inFlight.incrementAndGet();
        try {
            return call.get().whenComplete((result, failure) -> end());
        } catch (RuntimeException e) {
            end();
            throw e;
        }
    }

    private void end() {
        CompletableFuture<Void> waiting = inFlight.decrementAndGet() == 0 ? idle : null;
        if (waiting != null) {
            waiting.complete(null);
        }
    }
}
