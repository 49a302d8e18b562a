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

/** Handles the other nodes' messages about slots and leases. */
public final class SlotPeerHandler implements PeerHandler {
    private static final PeerMessage DONE = new PeerMessage.Done();

    private final SlotCoordinator coordinator;
    private final MonotonicClock clock;

    /**
     * Creates a handler.
     *
     * @param coordinator grants the slots of owned upstreams
     * @param clock turns remaining times into deadlines
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
            return CompletableFuture.completedFuture(new PeerMessage.LeasesHeld(leasesHeld(from, query)));
        }
        if (message instanceof PeerMessage.CancelSlotRequest cancel) {
            SlotRequestId requestId = new SlotRequestId(from, cancel.requestNumber());
            coordinator.pendingReplies().take(requestId).ifPresent(reply -> reply.denied(ResultCode.NO_CAPACITY));
            coordinator.apply(new SlotEvent.RequestCancelled(requestId));
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
        SlotRequestId requestId = new SlotRequestId(from, borrow.requestNumber());
        CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
        coordinator.pendingReplies().put(requestId, new RemoteReply(reply));
        // In this message, the deadline is the remaining time, since nodes do not share a clock.
        long deadlineNanos = clock.nowNanos() + borrow.request().deadlineNanos();
        coordinator.apply(
                new SlotEvent.SlotRequested(requestId, borrow.request().withDeadlineNanos(deadlineNanos)));
        return reply;
    }

    private List<UpstreamId> leasesHeld(VmId from, PeerMessage.QueryLeases query) {
        List<UpstreamId> held = new ArrayList<>(coordinator.borrower().filterHeld(query.upstreams()));
        SlotEvent event = new SlotEvent.LeaseQueryReceived(from, query.requesterIncarnation(), query.upstreams());
        for (SlotAction action : coordinator.apply(event)) {
            if (action instanceof SlotAction.ReportLeases reported) {
                held.addAll(reported.upstreams());
                return held;
            }
        }
        return query.upstreams();
    }

    private final class RemoteReply implements SlotReply {
        private final CompletableFuture<PeerMessage> reply;

        RemoteReply(CompletableFuture<PeerMessage> reply) {
            this.reply = reply;
        }

        @Override
        public void granted(GrantedSlot slot) {
            Duration remaining = Duration.ofNanos(Math.max(0, slot.deadlineNanos() - clock.nowNanos()));
            reply.complete(new PeerMessage.SlotLent(slot.lease(), slot.upstream(), slot.address(), remaining));
        }

        @Override
        public void granted(HeldLease lease) {
            lease.release(SlotReturn.unused());
            reply.complete(new PeerMessage.SlotDenied(ResultCode.NO_CAPACITY));
        }

        @Override
        public void denied(ResultCode code) {
            reply.complete(new PeerMessage.SlotDenied(code));
        }
    }
}
