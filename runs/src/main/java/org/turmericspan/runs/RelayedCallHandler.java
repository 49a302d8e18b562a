package org.turmericspan.runs;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerHandler;
import org.turmericspan.messages.PeerMessage;

/** Handles calls that other nodes relay to this node as the owner of their run token. */
public final class RelayedCallHandler implements PeerHandler {
    private final CallHandler ownerHandler;
    private final MonotonicClock clock;

    /**
     * Creates a handler.
     *
     * @param ownerHandler handles a relayed call, and refuses it when this node does not own the token
     * @param clock converts the remaining time in the message into a deadline of this process
     */
    public RelayedCallHandler(CallHandler ownerHandler, MonotonicClock clock) {
        this.ownerHandler = ownerHandler;
        this.clock = clock;
    }

    @Override
    public CompletionStage<PeerMessage> handle(VmId from, PeerMessage message) {
        if (!(message instanceof PeerMessage.RelayCall relayed)) {
            return CompletableFuture.completedFuture(new PeerMessage.Done());
        }
        CallRequest request = relayed.request();
        return ownerHandler
                .handle(request.withDeadline(clock.nowNanos() + request.deadlineNanos()))
                .thenApply(PeerMessage.RelayResult::new);
    }
}
