package org.turmericspan.routing;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.SlotSource;
import org.turmericspan.calls.UpstreamSignals;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;

/** Grants slots of owned upstreams, borrows those of other owners, and carries out the actions of the slot table. */
public final class SlotCoordinator implements SlotSource {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration HANDOVER_RETRY_DELAY = Duration.ofMillis(100);
    /** Retries of a handover, after which the new owner grants nothing until its grace period ends. */
    private static final int HANDOVER_RETRIES = 20;

    private final SlotTable table;
    private final SlotNetwork network;
    private final Supplier<OwnershipMap> ownershipMap;
    private final LongSupplier viewConfirmedNanos;
    private final PendingReplies pendingReplies = new PendingReplies();
    private final HeldLeases heldLeases;
    private final Borrower borrower;
    private final AtomicLong lastRequestNumber = new AtomicLong();
    private final Meter grantedMeter;
    private final Meter deniedMeter;

    /**
     * Creates a coordinator.
     *
     * @param table slots of the owned upstreams
     * @param network access to the other nodes and a timer
     * @param ownershipMap supplies the current ownership map
     * @param lenderSelector selects the owners to borrow from
     * @param clock measures deadlines
     * @param maxTickGap gap between two ticks above which the process counts as paused
     * @param viewConfirmedNanos supplies the monotonic time at which the view was last confirmed
     * @param metrics registry of the slot meters
     */
    public SlotCoordinator(
            SlotTable table,
            SlotNetwork network,
            Supplier<OwnershipMap> ownershipMap,
            LenderSelector lenderSelector,
            MonotonicClock clock,
            Duration maxTickGap,
            LongSupplier viewConfirmedNanos,
            MetricRegistry metrics) {
        this.table = table;
        this.network = network;
        this.ownershipMap = ownershipMap;
        this.viewConfirmedNanos = viewConfirmedNanos;
        this.heldLeases = new HeldLeases(clock, maxTickGap.toNanos());
        this.borrower = new Borrower(table, network, lenderSelector, clock, pendingReplies, heldLeases, metrics);
        this.grantedMeter = metrics.meter("slots.granted");
        this.deniedMeter = metrics.meter("slots.denied");
    }

    @Override
    public CompletionStage<SlotDecision> acquire(SlotRequest request) {
        if (ownershipMap.get().upstreamsOf(request.service()).isEmpty()) {
            return CompletableFuture.completedFuture(new SlotDecision.Denied(ResultCode.NO_CAPACITY, Optional.empty()));
        }
        SlotRequestId requestId = new SlotRequestId(network.self(), lastRequestNumber.incrementAndGet());
        LocalReply reply = new LocalReply(requestId, request);
        pendingReplies.put(requestId, reply);
        apply(new SlotEvent.SlotRequested(requestId, request));
        return reply.decision;
    }

    /**
     * Expires leases and queued requests and retries borrowing. Must be called at short, regular intervals: a long gap
     * counts as a process pause.
     */
    public void tick() {
        heldLeases.recallAfterPause();
        apply(new SlotEvent.Ticked(viewConfirmedNanos.getAsLong()));
        heldLeases.recordTick();
        borrower.tick();
    }

    /** Applies a change of the configuration or the view. */
    public void onOwnershipChanged() {
        apply(new SlotEvent.OwnershipChanged(ownershipMap.get()));
    }

    /**
     * Records what an upstream reported in its response to a probe.
     *
     * @param upstream the upstream
     * @param signals the reported signals
     */
    public void onProbeResult(UpstreamId upstream, UpstreamSignals signals) {
        apply(new SlotEvent.ProbeResultReceived(upstream, signals));
    }

    /**
     * Records the incarnation of another node.
     *
     * @param peer its VM
     * @param incarnation the incarnation it reported
     */
    public void onPeerIncarnation(VmId peer, Incarnation incarnation) {
        apply(new SlotEvent.PeerIncarnationSeen(peer, incarnation));
    }

    /**
     * Counts the slots this node has borrowed.
     *
     * @return number of leases of other owners held now
     */
    public int borrowedCount() {
        return borrower.borrowedCount();
    }

    /**
     * Applies an event to the table and carries out the resulting actions.
     *
     * @param event what happened
     * @return the actions, for callers that need a result contained in one of them
     */
    List<SlotAction> apply(SlotEvent event) {
        List<SlotAction> actions = table.apply(event);
        for (SlotAction action : actions) {
            perform(action);
        }
        return actions;
    }

    PendingReplies pendingReplies() {
        return pendingReplies;
    }

    /** Recalls a lease that this node holds from another owner. */
    void recallHeld(LeaseId lease) {
        heldLeases.recall(lease);
    }

    Borrower borrower() {
        return borrower;
    }

    private void perform(SlotAction action) {
        if (action instanceof SlotAction.Grant grant) {
            grant(grant);
        } else if (action instanceof SlotAction.Deny deny) {
            pendingReplies.take(deny.requestId()).ifPresent(reply -> reply.denied(deny.code()));
        } else if (action instanceof SlotAction.TryBorrow borrow) {
            borrower.borrow(borrow.requestId(), borrow.slotRequest());
        } else if (action instanceof SlotAction.Recall recall) {
            recall(recall.holder(), recall.lease());
        } else if (action instanceof SlotAction.HandOver handOver) {
            handOver(handOver, HANDOVER_RETRIES);
        } else if (action instanceof SlotAction.ForwardReturn forward) {
            network.links().tell(forward.to(), new PeerMessage.ReturnSlot(forward.lease(), forward.slotReturn()));
        } else if (action instanceof SlotAction.SendLeaseQuery query) {
            query(query);
        }
    }

    private void grant(SlotAction.Grant grant) {
        Optional<SlotReply> reply = pendingReplies.take(grant.requestId());
        if (reply.isPresent()) {
            grantedMeter.mark();
            reply.get().granted(grant.slot());
        } else {
            apply(new SlotEvent.Returned(grant.slot().lease(), SlotReturn.unused()));
        }
    }

    private void recall(VmId holder, LeaseId lease) {
        if (holder.equals(network.self())) {
            heldLeases.recall(lease);
        } else {
            network.links().tell(holder, new PeerMessage.RecallSlot(lease));
        }
    }

    private void handOver(SlotAction.HandOver handOver, int retriesLeft) {
        network.links()
                .ask(handOver.to(), handOver.handover(), HANDOVER_TIMEOUT)
                .thenAccept(reply -> {
                    if (reply instanceof PeerMessage.Done) {
                        return;
                    }
                    if (retriesLeft == 0) {
                        logger.atWarning().log(
                                "slots: VM %s did not accept the handover of upstream %s; a grace period applies",
                                handOver.to(), handOver.handover().upstream());
                    } else {
                        network.timer().after(HANDOVER_RETRY_DELAY, () -> handOver(handOver, retriesLeft - 1));
                    }
                });
    }

    private void query(SlotAction.SendLeaseQuery query) {
        network.links()
                .ask(query.to(), new PeerMessage.QueryLeases(network.incarnation(), query.upstreams()), QUERY_TIMEOUT)
                .thenAccept(reply -> {
                    if (reply instanceof PeerMessage.LeasesHeld leases) {
                        apply(new SlotEvent.LeaseReportReceived(query.to(), query.upstreams(), leases.held()));
                    }
                });
    }

    private final class LocalReply implements SlotReply {
        private final SlotRequestId requestId;
        private final SlotRequest request;
        private final CompletableFuture<SlotDecision> decision = new CompletableFuture<>();
        private volatile boolean triedBorrowing;

        LocalReply(SlotRequestId requestId, SlotRequest request) {
            this.requestId = requestId;
            this.request = request;
        }

        @Override
        public void granted(GrantedSlot slot) {
            borrower.cancelRequests(requestId);
            granted(heldLeases.hold(slot, slotReturn -> apply(new SlotEvent.Returned(slot.lease(), slotReturn))));
        }

        @Override
        public void granted(HeldLease lease) {
            decision.complete(new SlotDecision.Granted(lease));
        }

        @Override
        public void denied(ResultCode code) {
            if (request.idleOnly() && code == ResultCode.NO_CAPACITY && !triedBorrowing) {
                triedBorrowing = true;
                pendingReplies.put(requestId, this);
                borrower.borrowIdle(requestId, request);
                return;
            }
            borrower.cancelRequests(requestId);
            deniedMeter.mark();
            decision.complete(new SlotDecision.Denied(code, Optional.empty()));
        }
    }
}
