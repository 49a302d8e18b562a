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

/** Grants the slots kept here, borrows others, and carries out what the table decides. */
public final class SlotCoordinator implements SlotSource {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration HANDOVER_PAUSE = Duration.ofMillis(100);
    private static final int HANDOVER_ATTEMPTS = 20;

    private final SlotTable table;
    private final SlotNetwork network;
    private final Supplier<OwnershipMap> map;
    private final LongSupplier viewConfirmedNanos;
    private final WishBook wishes = new WishBook();
    private final HeldLeases held;
    private final Borrower borrower;
    private final AtomicLong nextWish = new AtomicLong();
    private final Meter granted;
    private final Meter denied;

    /**
     * Creates a coordinator.
     *
     * @param table slots of the kept upstreams
     * @param network what it needs of the node
     * @param map who keeps what
     * @param board what the other nodes reported
     * @param clock measures deadlines
     * @param pauseBound longest gap between two ticks of a process that is awake
     * @param viewConfirmedNanos tells when the view was last confirmed
     * @param metrics takes the counts
     */
    public SlotCoordinator(
            SlotTable table,
            SlotNetwork network,
            Supplier<OwnershipMap> map,
            LenderSelector board,
            MonotonicClock clock,
            Duration pauseBound,
            LongSupplier viewConfirmedNanos,
            MetricRegistry metrics) {
        this.table = table;
        this.network = network;
        this.map = map;
        this.viewConfirmedNanos = viewConfirmedNanos;
        this.held = new HeldLeases(clock, pauseBound.toNanos());
        this.borrower = new Borrower(table, network, board, clock, wishes, held, metrics);
        this.granted = metrics.meter("slots.granted");
        this.denied = metrics.meter("slots.denied");
    }

    @Override
    public CompletionStage<SlotDecision> acquire(SlotRequest request) {
        if (map.get().upstreamsOf(request.service()).isEmpty()) {
            return CompletableFuture.completedFuture(new SlotDecision.Denied(ResultCode.NO_CAPACITY, Optional.empty()));
        }
        WishKey key = new WishKey(network.self(), nextWish.incrementAndGet());
        OwnReply reply = new OwnReply(key, request);
        wishes.put(key, reply);
        apply(new SlotEvent.Wished(key, request));
        return reply.decision;
    }

    /** Lets time pass. It is to be called at short, even intervals. */
    public void tick() {
        held.recallAfterPause();
        apply(new SlotEvent.Ticked(viewConfirmedNanos.getAsLong()));
        held.ticked();
        borrower.tick();
    }

    /** Takes over a change of the configuration or the view. */
    public void onOwnershipChanged() {
        apply(new SlotEvent.MapChanged(map.get()));
    }

    /**
     * Takes what an upstream said of itself to a probe.
     *
     * @param upstream the upstream
     * @param signals its answer
     */
    public void onProbeResult(UpstreamId upstream, UpstreamSignals signals) {
        apply(new SlotEvent.Observed(upstream, signals));
    }

    /**
     * Notes the life of another node.
     *
     * @param peer its VM
     * @param incarnation the life it said it is in
     */
    public void onPeerIncarnation(VmId peer, Incarnation incarnation) {
        apply(new SlotEvent.PeerSeen(peer, incarnation));
    }

    /**
     * Counts the slots this node has borrowed.
     *
     * @return number of leases of other keepers held now
     */
    public int borrowedCount() {
        return borrower.borrowed();
    }

    /**
     * Decides on an event and carries out the decision.
     *
     * @param event what happened
     * @return the decision
     */
    List<SlotAction> apply(SlotEvent event) {
        List<SlotAction> actions = table.apply(event);
        for (SlotAction action : actions) {
            perform(action);
        }
        return actions;
    }

    WishBook wishes() {
        return wishes;
    }

    /** Recalls a lease that this node holds of another keeper. */
    void recallHeld(LeaseId lease) {
        held.recall(lease);
    }

    Borrower borrower() {
        return borrower;
    }

    private void perform(SlotAction action) {
        if (action instanceof SlotAction.Grant grant) {
            grant(grant);
        } else if (action instanceof SlotAction.Deny deny) {
            wishes.take(deny.key()).ifPresent(reply -> reply.denied(deny.code()));
        } else if (action instanceof SlotAction.Park park) {
            borrower.borrow(park.key(), park.slotRequest());
        } else if (action instanceof SlotAction.Recall recall) {
            recall(recall.holder(), recall.lease());
        } else if (action instanceof SlotAction.HandOver handOver) {
            handOver(handOver, HANDOVER_ATTEMPTS);
        } else if (action instanceof SlotAction.Forward forward) {
            network.links().tell(forward.to(), new PeerMessage.ReturnSlot(forward.lease(), forward.slotReturn()));
        } else if (action instanceof SlotAction.Query query) {
            query(query);
        }
    }

    private void grant(SlotAction.Grant grant) {
        Optional<WishReply> reply = wishes.take(grant.key());
        if (reply.isPresent()) {
            granted.mark();
            reply.get().granted(grant.slot());
        } else {
            apply(new SlotEvent.Returned(grant.slot().lease(), SlotReturn.unused()));
        }
    }

    private void recall(VmId holder, LeaseId lease) {
        if (holder.equals(network.self())) {
            held.recall(lease);
        } else {
            network.links().tell(holder, new PeerMessage.RecallSlot(lease));
        }
    }

    private void handOver(SlotAction.HandOver handOver, int attemptsLeft) {
        network.links()
                .ask(handOver.to(), handOver.handover(), HANDOVER_TIMEOUT)
                .thenAccept(answer -> {
                    if (answer instanceof PeerMessage.Done) {
                        return;
                    }
                    if (attemptsLeft == 0) {
                        logger.atWarning().log(
                                "slots: %s did not take over %s",
                                handOver.to(), handOver.handover().upstream());
                    } else {
                        network.timer().after(HANDOVER_PAUSE, () -> handOver(handOver, attemptsLeft - 1));
                    }
                });
    }

    private void query(SlotAction.Query query) {
        network.links()
                .ask(query.to(), new PeerMessage.QueryLeases(network.incarnation(), query.upstreams()), QUERY_TIMEOUT)
                .thenAccept(answer -> {
                    if (answer instanceof PeerMessage.LeasesHeld leases) {
                        apply(new SlotEvent.LeasesAnswered(query.to(), query.upstreams(), leases.held()));
                    }
                });
    }

    private final class OwnReply implements WishReply {
        private final WishKey key;
        private final SlotRequest request;
        private final CompletableFuture<SlotDecision> decision = new CompletableFuture<>();
        private volatile boolean askedOthers;

        OwnReply(WishKey key, SlotRequest request) {
            this.key = key;
            this.request = request;
        }

        @Override
        public void granted(GrantedSlot slot) {
            borrower.met(key);
            granted(held.hold(slot, slotReturn -> apply(new SlotEvent.Returned(slot.lease(), slotReturn))));
        }

        @Override
        public void granted(HeldLease lease) {
            decision.complete(new SlotDecision.Granted(lease));
        }

        @Override
        public void denied(ResultCode code) {
            if (request.idleOnly() && code == ResultCode.NO_CAPACITY && !askedOthers) {
                askedOthers = true;
                wishes.put(key, this);
                borrower.borrowIdle(key, request);
                return;
            }
            borrower.met(key);
            denied.mark();
            decision.complete(new SlotDecision.Denied(code, Optional.empty()));
        }
    }
}
