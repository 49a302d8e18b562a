package org.turmericspan.routing;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerMessage;

/**
 * Borrows slots from other owners for the requests of this node. Once a request is granted, its other
 * borrow requests are cancelled; a slot that arrives too late serves another queued request or is returned.
 */
final class Borrower {
    /** Time after the deadline of a borrow request for which the lender's reply is awaited. */
    private static final Duration REPLY_TIMEOUT_MARGIN = Duration.ofSeconds(1);
    /** Shortest time between two rounds of borrow requests for one queued request. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(20);
    /** Borrow requests of this node without a reply, from which on no further round is sent. */
    private static final int MAX_REQUESTS_IN_FLIGHT = 64;

    private final SlotTable table;
    private final SlotNetwork network;
    private final LenderSelector lenderSelector;
    private final MonotonicClock clock;
    private final PendingReplies pendingReplies;
    private final HeldLeases heldLeases;
    private final Map<SlotRequestId, BorrowAttempt> attempts = new ConcurrentHashMap<>();
    private final Map<LeaseId, UpstreamId> upstreamsByBorrowedLease = new ConcurrentHashMap<>();
    private final AtomicInteger requestsInFlight = new AtomicInteger();
    private final Meter borrowedMeter;
    private final Meter reusedMeter;

    Borrower(
            SlotTable table,
            SlotNetwork network,
            LenderSelector lenderSelector,
            MonotonicClock clock,
            PendingReplies pendingReplies,
            HeldLeases heldLeases,
            MetricRegistry metrics) {
        this.table = table;
        this.network = network;
        this.lenderSelector = lenderSelector;
        this.clock = clock;
        this.pendingReplies = pendingReplies;
        this.heldLeases = heldLeases;
        this.borrowedMeter = metrics.meter("slots.borrowed");
        this.reusedMeter = metrics.meter("slots.reused");
    }

    /** Sends borrow requests for a request that is queued on this node. */
    void borrow(SlotRequestId requestId, SlotRequest request) {
        BorrowAttempt attempt = new BorrowAttempt(requestId, request);
        attempts.put(requestId, attempt);
        sendRequests(attempt, lenderSelector.lenders(request.service(), false));
    }

    /** Sends borrow requests, only to owners that reported idle slots, for a request that is not queued. */
    void borrowIdle(SlotRequestId requestId, SlotRequest request) {
        BorrowAttempt attempt = new BorrowAttempt(requestId, request);
        attempts.put(requestId, attempt);
        sendRequests(attempt, lenderSelector.lenders(request.service(), true));
        denyIfExhausted(attempt);
    }

    /** Ends the borrow attempt of a request that was granted or denied and cancels its borrow requests. */
    void cancelRequests(SlotRequestId requestId) {
        BorrowAttempt attempt = attempts.remove(requestId);
        if (attempt != null) {
            attempt.pendingLenders.forEach(
                    lender -> network.links().tell(lender, new PeerMessage.CancelSlotRequest(requestId.number())));
        }
    }

    /**
     * Retries requests that every lender has denied, and ends attempts whose request was granted on another thread
     * before they began.
     */
    void tick() {
        long nowNanos = clock.nowNanos();
        for (BorrowAttempt attempt : attempts.values()) {
            if (!pendingReplies.contains(attempt.requestId)) {
                cancelRequests(attempt.requestId);
            } else if (attempt.pendingLenders.isEmpty()
                    && !attempt.request.idleOnly()
                    && nowNanos - attempt.lastSentNanos >= RETRY_INTERVAL.toNanos()) {
                sendRequests(attempt, lenderSelector.lenders(attempt.request.service(), false));
            }
        }
    }

    int borrowedCount() {
        return upstreamsByBorrowedLease.size();
    }

    /** Returns those of the upstreams on which this node holds a borrowed lease. */
    List<UpstreamId> filterHeld(List<UpstreamId> upstreams) {
        Set<UpstreamId> borrowedUpstreams = Set.copyOf(upstreamsByBorrowedLease.values());
        return upstreams.stream().filter(borrowedUpstreams::contains).toList();
    }

    private void sendRequests(BorrowAttempt attempt, List<VmId> lenders) {
        long nowNanos = clock.nowNanos();
        attempt.lastSentNanos = nowNanos;
        if (requestsInFlight.get() >= MAX_REQUESTS_IN_FLIGHT) {
            return;
        }
        attempt.leaseDeadlineNanos = latestDeadlineNanos(attempt.request);
        long remainingNanos = attempt.leaseDeadlineNanos - nowNanos;
        if (remainingNanos <= 0) {
            return;
        }
        PeerMessage message = new PeerMessage.BorrowSlot(
                attempt.request.withDeadlineNanos(remainingNanos), attempt.requestId.number());
        attempt.pendingLenders.addAll(lenders);
        for (VmId lender : lenders) {
            requestsInFlight.incrementAndGet();
            network.links()
                    .ask(lender, message, REPLY_TIMEOUT_MARGIN.plusNanos(remainingNanos))
                    .thenAccept(reply -> handleReply(attempt, lender, reply));
        }
    }

    /** Returns the latest deadline among the requests that the slot may serve. */
    private long latestDeadlineNanos(SlotRequest request) {
        long latestNanos = request.deadlineNanos();
        if (request.idleOnly()) {
            return latestNanos;
        }
        for (BorrowAttempt attempt : attempts.values()) {
            if (attempt.request.service().equals(request.service())) {
                latestNanos = Math.max(latestNanos, attempt.request.deadlineNanos());
            }
        }
        return latestNanos;
    }

    private void handleReply(BorrowAttempt attempt, VmId lender, PeerMessage reply) {
        requestsInFlight.decrementAndGet();
        attempt.pendingLenders.remove(lender);
        if (reply instanceof PeerMessage.SlotLent lent) {
            borrowedMeter.mark();
            useLentSlot(attempt, lender, lent);
        }
        denyIfExhausted(attempt);
    }

    private void denyIfExhausted(BorrowAttempt attempt) {
        if (attempt.request.idleOnly() && attempt.pendingLenders.isEmpty()) {
            pendingReplies.take(attempt.requestId).ifPresent(reply -> reply.denied(ResultCode.NO_CAPACITY));
        }
    }

    /**
     * Uses a lent slot. The lease ends after the remaining time that the lender reported, counted from the arrival of
     * the reply on the clock of this node, but no later than the deadline of the request that the slot was borrowed
     * for: a delayed reply does not extend it past that deadline.
     */
    private void useLentSlot(BorrowAttempt attempt, VmId lender, PeerMessage.SlotLent lent) {
        long nowNanos = clock.nowNanos();
        long deadlineNanos = Math.min(
                attempt.request.deadlineNanos(), nowNanos + lent.remaining().toNanos());
        GrantedSlot slot = new GrantedSlot(lent.lease(), lent.upstream(), lent.address(), deadlineNanos);
        Loan loan = new Loan(lender, attempt.request.service(), slot, nowNanos + LeaseReuse.WINDOW.toNanos());
        upstreamsByBorrowedLease.put(lent.lease(), lent.upstream());
        if (attempt.request.idleOnly()) {
            var reply = pendingReplies.take(attempt.requestId);
            if (reply.isPresent()) {
                cancelRequests(attempt.requestId);
                reply.get().granted(hold(loan));
            } else {
                returnSlot(loan, SlotReturn.unused());
            }
            return;
        }
        if (!assign(loan, attempt.requestId)) {
            returnSlot(loan, SlotReturn.unused());
        }
    }

    private boolean assign(Loan loan, SlotRequestId preferredId) {
        List<SlotAction> matches = table.apply(new SlotEvent.BorrowedSlotAvailable(
                loan.service(), preferredId, loan.slot().deadlineNanos()));
        for (SlotAction action : matches) {
            if (action instanceof SlotAction.AssignBorrowedSlot assignment) {
                var reply = pendingReplies.take(assignment.requestId());
                cancelRequests(assignment.requestId());
                if (reply.isPresent()) {
                    reply.get().granted(hold(loan));
                    return true;
                }
            }
        }
        return false;
    }

    private HeldLease hold(Loan loan) {
        HeldLease[] lease = new HeldLease[1];
        lease[0] = heldLeases.hold(loan.slot(), slotReturn -> finish(loan, lease[0].isRecalled(), slotReturn));
        return lease[0];
    }

    private void finish(Loan loan, boolean wasRecalled, SlotReturn slotReturn) {
        long nowNanos = clock.nowNanos();
        boolean mayServeMore = !wasRecalled
                && slotReturn.outcome() == SlotReturn.Outcome.ANSWERED
                && !slotReturn.signals().leaving()
                && !slotReturn.signals().cold()
                && nowNanos < loan.reuseUntilNanos()
                && nowNanos < loan.slot().deadlineNanos();
        if (mayServeMore && assign(loan, new SlotRequestId(network.self(), 0))) {
            reusedMeter.mark();
            return;
        }
        returnSlot(loan, slotReturn);
    }

    private void returnSlot(Loan loan, SlotReturn slotReturn) {
        upstreamsByBorrowedLease.remove(loan.slot().lease());
        network.links()
                .tell(loan.lender(), new PeerMessage.ReturnSlot(loan.slot().lease(), slotReturn));
    }

    /** A borrowed slot, and the monotonic time up to which it may be passed on to another queued request. */
    private record Loan(VmId lender, ServiceId service, GrantedSlot slot, long reuseUntilNanos) {}

    /** A request of this node for which other owners are asked to lend a slot. */
    private static final class BorrowAttempt {
        private final SlotRequestId requestId;
        private final SlotRequest request;
        private final Set<VmId> pendingLenders = ConcurrentHashMap.newKeySet();
        private volatile long lastSentNanos;
        private volatile long leaseDeadlineNanos;

        BorrowAttempt(SlotRequestId requestId, SlotRequest request) {
            this.requestId = requestId;
            this.request = request;
        }
    }
}
