package org.turmericspan.runs;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;

/**
 * Relays requests to the node that owns their run token. If the relay fails, the outcome is unknown, never "not run",
 * since an earlier copy of the request may have reached the owner through another node.
 */
public final class RunRelay {
    /** Time beyond the deadline in which the reply of the owner is still accepted. */
    private static final Duration REPLY_GRACE = Duration.ofMillis(100);

    private final TokenOwnerLookup ownerLookup;
    private final PeerLinks links;
    private final MonotonicClock clock;

    /**
     * Creates a relay.
     *
     * @param ownerLookup finds the node that owns a token
     * @param links sends messages to the other nodes
     * @param clock clock that deadlines refer to
     */
    public RunRelay(TokenOwnerLookup ownerLookup, PeerLinks links, MonotonicClock clock) {
        this.ownerLookup = ownerLookup;
        this.links = links;
        this.clock = clock;
    }

    /** Relays a request to the owner; completes with the result in its reply, or with a refusal if there is none. */
    CompletionStage<CallResult> relay(CallRequest request, Incarnation owner) {
        return ownerLookup
                .find(owner)
                .map(vm -> relayTo(vm, request))
                .orElseGet(() -> refused(ResultCode.OWNER_UNREACHABLE, "No node with that incarnation is known."));
    }

    private CompletionStage<CallResult> relayTo(VmId owner, CallRequest request) {
        Duration remaining = Duration.ofNanos(request.deadlineNanos() - clock.nowNanos());
        if (remaining.isNegative() || remaining.isZero()) {
            return refused(ResultCode.DEADLINE_AFTER_SEND, "The deadline passed before the request was relayed.");
        }
        PeerMessage message = new PeerMessage.RelayCall(request.withDeadline(remaining.toNanos()));
        return links.ask(owner, message, remaining.plus(REPLY_GRACE)).thenApply(RunRelay::toResult);
    }

    private static CallResult toResult(PeerMessage reply) {
        if (reply instanceof PeerMessage.RelayResult relayed) {
            return relayed.result();
        }
        return CallResult.Refused.of(ResultCode.OWNER_UNREACHABLE, "The owner gave no answer.");
    }

    private static CompletionStage<CallResult> refused(ResultCode code, String detail) {
        return CompletableFuture.completedFuture(CallResult.Refused.of(code, detail));
    }
}
