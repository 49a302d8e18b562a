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
 * Borrows slots from other keepers for wishes that wait here. A wish that is met withdraws its other requests; a slot
 * that comes too late serves another wish or goes back.
 */
final class Borrower {
    private static final Duration ANSWER_MARGIN = Duration.ofSeconds(1);
    private static final Duration RETRY = Duration.ofMillis(20);
    private static final int MAX_REQUESTS = 64;

    private final SlotTable table;
    private final SlotNetwork network;
    private final LenderSelector board;
    private final MonotonicClock clock;
    private final WishBook wishes;
    private final HeldLeases held;
    private final Map<WishKey, Search> searches = new ConcurrentHashMap<>();
    private final Map<LeaseId, UpstreamId> borrowed = new ConcurrentHashMap<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final Meter borrowedMeter;
    private final Meter reusedMeter;

    Borrower(
            SlotTable table,
            SlotNetwork network,
            LenderSelector board,
            MonotonicClock clock,
            WishBook wishes,
            HeldLeases held,
            MetricRegistry metrics) {
        this.table = table;
        this.network = network;
        this.board = board;
        this.clock = clock;
        this.wishes = wishes;
        this.held = held;
        this.borrowedMeter = metrics.meter("slots.borrowed");
        this.reusedMeter = metrics.meter("slots.reused");
    }

    /** Asks keepers on behalf of a wish that waits here. */
    void borrow(WishKey key, SlotRequest request) {
        Search search = new Search(key, request);
        searches.put(key, search);
        ask(search, board.lenders(request.service(), false));
    }

    /** Asks keepers that reported idle slots on behalf of a wish that does not wait. */
    void borrowIdle(WishKey key, SlotRequest request) {
        Search search = new Search(key, request);
        searches.put(key, search);
        ask(search, board.lenders(request.service(), true));
        denyWhenOver(search);
    }

    /** Ends the search of a wish that was answered. */
    void met(WishKey key) {
        Search search = searches.remove(key);
        if (search != null) {
            search.asked.forEach(
                    keeper -> network.links().tell(keeper, new PeerMessage.CancelSlotRequest(key.number())));
        }
    }

    /**
     * Asks again for wishes whose keepers have all said no, and ends searches whose wish was met on another thread
     * before they began.
     */
    void tick() {
        long nowNanos = clock.nowNanos();
        for (Search search : searches.values()) {
            if (!wishes.waits(search.key)) {
                met(search.key);
            } else if (search.asked.isEmpty()
                    && !search.request.idleOnly()
                    && nowNanos - search.askedNanos >= RETRY.toNanos()) {
                ask(search, board.lenders(search.request.service(), false));
            }
        }
    }

    int borrowed() {
        return borrowed.size();
    }

    /** Lists those of the upstreams on which this node holds a borrowed lease. */
    List<UpstreamId> holdsOf(List<UpstreamId> upstreams) {
        Set<UpstreamId> now = Set.copyOf(borrowed.values());
        return upstreams.stream().filter(now::contains).toList();
    }

    private void ask(Search search, List<VmId> keepers) {
        long nowNanos = clock.nowNanos();
        search.askedNanos = nowNanos;
        if (requests.get() >= MAX_REQUESTS) {
            return;
        }
        search.leaseDeadlineNanos = latestDeadlineNanos(search.request);
        long remainingNanos = search.leaseDeadlineNanos - nowNanos;
        if (remainingNanos <= 0) {
            return;
        }
        PeerMessage message =
                new PeerMessage.BorrowSlot(search.request.withDeadlineNanos(remainingNanos), search.key.number());
        search.asked.addAll(keepers);
        for (VmId keeper : keepers) {
            requests.incrementAndGet();
            network.links()
                    .ask(keeper, message, ANSWER_MARGIN.plusNanos(remainingNanos))
                    .thenAccept(answer -> answered(search, keeper, answer));
        }
    }

    /** Finds the latest deadline among the wishes that the slot may serve. */
    private long latestDeadlineNanos(SlotRequest request) {
        long latestNanos = request.deadlineNanos();
        if (request.idleOnly()) {
            return latestNanos;
        }
        for (Search search : searches.values()) {
            if (search.request.service().equals(request.service())) {
                latestNanos = Math.max(latestNanos, search.request.deadlineNanos());
            }
        }
        return latestNanos;
    }

    private void answered(Search search, VmId keeper, PeerMessage answer) {
        requests.decrementAndGet();
        search.asked.remove(keeper);
        if (answer instanceof PeerMessage.SlotLent lent) {
            borrowedMeter.mark();
            take(search, keeper, lent);
        }
        denyWhenOver(search);
    }

    private void denyWhenOver(Search search) {
        if (search.request.idleOnly() && search.asked.isEmpty()) {
            wishes.take(search.key).ifPresent(reply -> reply.denied(ResultCode.NO_CAPACITY));
        }
    }

    /** Uses a lent slot. It ends no later than the deadline told with the wish, by the clock of this node. */
    private void take(Search search, VmId keeper, PeerMessage.SlotLent lent) {
        long nowNanos = clock.nowNanos();
        long deadlineNanos = Math.min(
                search.request.deadlineNanos(), nowNanos + lent.remaining().toNanos());
        GrantedSlot slot = new GrantedSlot(lent.lease(), lent.upstream(), lent.address(), deadlineNanos);
        Loan loan = new Loan(keeper, search.request.service(), slot, nowNanos + LeaseReuse.WINDOW.toNanos());
        borrowed.put(lent.lease(), lent.upstream());
        if (search.request.idleOnly()) {
            var reply = wishes.take(search.key);
            if (reply.isPresent()) {
                met(search.key);
                reply.get().granted(hold(loan));
            } else {
                giveBack(loan, SlotReturn.unused());
            }
            return;
        }
        if (!serve(loan, search.key)) {
            giveBack(loan, SlotReturn.unused());
        }
    }

    private boolean serve(Loan loan, WishKey preferred) {
        List<SlotAction> matches = table.apply(
                new SlotEvent.Offered(loan.service(), preferred, loan.slot().deadlineNanos()));
        for (SlotAction action : matches) {
            if (action instanceof SlotAction.Match match) {
                var reply = wishes.take(match.key());
                met(match.key());
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
        lease[0] = held.hold(loan.slot(), slotReturn -> finish(loan, lease[0].isRecalled(), slotReturn));
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
        if (mayServeMore && serve(loan, new WishKey(network.self(), 0))) {
            reusedMeter.mark();
            return;
        }
        giveBack(loan, slotReturn);
    }

    private void giveBack(Loan loan, SlotReturn slotReturn) {
        borrowed.remove(loan.slot().lease());
        network.links()
                .tell(loan.keeper(), new PeerMessage.ReturnSlot(loan.slot().lease(), slotReturn));
    }

    private record Loan(VmId keeper, ServiceId service, GrantedSlot slot, long reuseUntilNanos) {}

    private static final class Search {
        private final WishKey key;
        private final SlotRequest request;
        private final Set<VmId> asked = ConcurrentHashMap.newKeySet();
        private volatile long askedNanos;
        private volatile long leaseDeadlineNanos;

        Search(WishKey key, SlotRequest request) {
            this.key = key;
            this.request = request;
        }
    }
}
