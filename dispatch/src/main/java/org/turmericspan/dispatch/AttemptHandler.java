package org.turmericspan.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.ServiceCatalog;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.SlotSource;
import org.turmericspan.calls.SlotWish;
import org.turmericspan.calls.UpstreamReply;
import org.turmericspan.calls.UpstreamSender;
import org.turmericspan.errors.ResultCode;

/** Takes a slot, sends one attempt under it, gives the slot back and turns the reply into a result. */
public final class AttemptHandler implements CallHandler {
    private final ServiceCatalog catalog;
    private final SlotSource slots;
    private final UpstreamSender sender;

    /**
     * Creates a handler.
     *
     * @param catalog limits of the services
     * @param slots grants slots
     * @param sender sends attempts
     */
    public AttemptHandler(ServiceCatalog catalog, SlotSource slots, UpstreamSender sender) {
        this.catalog = catalog;
        this.slots = slots;
        this.sender = sender;
    }

    @Override
    public CompletionStage<CallResult> handle(CallRequest request) {
        return slots.acquire(SlotWish.first(request)).thenCompose(decision -> attempt(decision, request));
    }

    private CompletionStage<CallResult> attempt(SlotDecision decision, CallRequest request) {
        if (decision instanceof SlotDecision.Denied denied) {
            return CompletableFuture.completedFuture(
                    new CallResult.Refused(denied.code(), "No slot was granted.", denied.retryAfter()));
        }
        SlotLease lease = ((SlotDecision.Granted) decision).lease();
        return catalog.limits(request.service())
                .map(limits -> sender.send(lease, request, limits.answerLimitBytes())
                        .reply()
                        .thenApply(reply -> finish(lease, reply)))
                .orElseGet(() -> CompletableFuture.completedFuture(
                        CallResult.Refused.of(ResultCode.NOT_CONFIGURED, "The service has gone.")));
    }

    private static CallResult finish(SlotLease lease, UpstreamReply reply) {
        lease.release(ReplyOutcome.slotReturn(reply));
        return ReplyOutcome.result(reply);
    }
}
