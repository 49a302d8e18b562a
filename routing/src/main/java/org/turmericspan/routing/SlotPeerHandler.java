package org.turmericspan.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerHandler;
import org.turmericspan.messages.PeerMessage;

/** Answers the other nodes' messages about slots and leases. */
public final class SlotPeerHandler implements PeerHandler {
    private static final PeerMessage DONE = new PeerMessage.Done();

    private final SlotCoordinator coordinator;
    private final MonotonicClock clock;

    /**
     * Creates a handler.
     *
     * @param coordinator grants the slots kept here
     * @param clock turns spans into deadlines
     */
    public SlotPeerHandler(SlotCoordinator coordinator, MonotonicClock clock) {
        this.coordinator = coordinator;
        this.clock = clock;
    }

    @Override
    public CompletionStage<PeerMessage> handle(VmId from, PeerMessage message) {
        if (message instanceof PeerMessage.BorrowSlot borrow) {
            return lend(from, borrow);
        }
        if (message instanceof PeerMessage.QueryLeases query) {
            return CompletableFuture.completedFuture(new PeerMessage.LeasesHeld(held(from, query)));
        }
        if (message instanceof PeerMessage.CancelSlotRequest withdraw) {
            WishKey key = new WishKey(from, withdraw.requestNumber());
            coordinator.wishes().take(key).ifPresent(reply -> reply.denied(ResultCode.NO_CAPACITY));
            coordinator.apply(new SlotEvent.Withdrawn(key));
        } else if (message instanceof PeerMessage.ReturnSlot returned) {
            coordinator.apply(new SlotEvent.Returned(returned.lease(), returned.slotReturn()));
        } else if (message instanceof PeerMessage.RecallSlot recall) {
            coordinator.recallHeld(recall.lease());
        } else if (message instanceof PeerMessage.Handover handover) {
            coordinator.apply(new SlotEvent.HandedOver(from, handover));
        }
        return CompletableFuture.completedFuture(DONE);
    }

    private CompletionStage<PeerMessage> lend(VmId from, PeerMessage.BorrowSlot borrow) {
        WishKey key = new WishKey(from, borrow.requestNumber());
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        coordinator.wishes().put(key, new LentReply(answer));
        long deadlineNanos = clock.nowNanos() + borrow.request().deadlineNanos();
        coordinator.apply(new SlotEvent.Wished(key, borrow.request().withDeadlineNanos(deadlineNanos)));
        return answer;
    }

    private List<UpstreamId> held(VmId from, PeerMessage.QueryLeases query) {
        List<UpstreamId> held = new ArrayList<>(coordinator.borrower().holdsOf(query.upstreams()));
        SlotEvent event = new SlotEvent.LeasesQueried(from, query.requesterIncarnation(), query.upstreams());
        for (SlotAction action : coordinator.apply(event)) {
            if (action instanceof SlotAction.Held known) {
                held.addAll(known.upstreams());
                return held;
            }
        }
        return query.upstreams();
    }

    private final class LentReply implements WishReply {
        private final CompletableFuture<PeerMessage> answer;

        LentReply(CompletableFuture<PeerMessage> answer) {
            this.answer = answer;
        }

        @Override
        public void granted(GrantedSlot slot) {
            Duration remaining = Duration.ofNanos(Math.max(0, slot.deadlineNanos() - clock.nowNanos()));
            answer.complete(new PeerMessage.SlotLent(slot.lease(), slot.upstream(), slot.address(), remaining));
        }

        @Override
        public void granted(HeldLease lease) {
            lease.release(SlotReturn.unused());
            answer.complete(new PeerMessage.SlotDenied(ResultCode.NO_CAPACITY));
        }

        @Override
        public void denied(ResultCode code) {
            answer.complete(new PeerMessage.SlotDenied(code));
        }
    }
}
