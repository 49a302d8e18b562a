package org.turmericspan.caps;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.turmericspan.caps.CapDecision.Outcome;
import org.turmericspan.caps.CapLimits.ShardLimits;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.TenantId;
import org.turmericspan.tenancy.RequestCap;

/**
 * The requests of one tenant at this node: those that wait for a permit, the permits held for later ones, and the one
 * ask under way. Requests that arrive meanwhile join the next ask, so that any load of a tenant costs this node one
 * message at a time. Guarded by the lock of {@link CapNode}; decisions are collected and told outside it.
 */
final class TenantDesk {
    /** Time after which a holder that has not answered is passed over. */
    static final long ASK_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Longest time for which a request waits for a decision. */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Longest time after which a refused caller is told to return. */
    private static final long MAX_RETRY_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Most requests of a tenant that wait at one node. */
    private static final int MAX_WAITERS = 512;
    /** Most permits that are asked for at once. */
    private static final int MAX_PERMITS = 256;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final TenantId id;
    private final long tenantHash;
    private final DemandMeter demand;
    private final Map<SocketAddress, HolderState> holders = new HashMap<>();
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private long lastNumber;
    private Pending pending;
    private int held;
    private SocketAddress heldFrom;
    private long heldSinceNanos;
    private RequestCap cap = RequestCap.UNLIMITED;
    private long nextRetryNanos;

    TenantDesk(TenantId id, long tenantHash, long nowNanos) {
        this.id = id;
        this.tenantHash = tenantHash;
        this.demand = new DemandMeter(nowNanos);
        this.nextRetryNanos = nowNanos;
    }

    TenantId id() {
        return id;
    }

    /** Decides on a request at once, or adds it to those that wait. Returns false when it waits. */
    boolean request(RequestCap newCap, Consumer<CapDecision> listener, List<Told> told, long nowNanos) {
        cap = newCap;
        demand.arrived(nowNanos);
        dropLapsed(nowNanos);
        if (held > 0) {
            held--;
            told.add(new Told(
                    listener,
                    new CapDecision(
                            Outcome.FROM_BATCH,
                            0,
                            heldFrom.toString(),
                            (nowNanos - heldSinceNanos) / NANOS_PER_MILLI)));
            return true;
        }
        if (waiters.size() >= MAX_WAITERS) {
            told.add(new Told(listener, refused(Outcome.UNDECIDED, 0)));
            return true;
        }
        waiters.addLast(new Waiter(listener, nowNanos));
        return false;
    }

    /**
     * Returns the next ask, if requests wait and none is under way. When no holder is left to be asked, the requests
     * are refused.
     *
     * @param order the holders, in the order in which this node asks them
     */
    Optional<Pending> nextAsk(List<SocketAddress> order, long asker, List<Told> told, long nowNanos) {
        if (pending != null) {
            return Optional.empty();
        }
        while (!waiters.isEmpty() && nowNanos - waiters.peekFirst().sinceNanos() >= MAX_WAIT_NANOS) {
            told.add(new Told(waiters.removeFirst().listener(), refused(Outcome.UNDECIDED, 0)));
        }
        if (waiters.isEmpty()) {
            return Optional.empty();
        }
        Optional<SocketAddress> best = bestToAsk(order, nowNanos);
        if (best.isEmpty()) {
            refuseAll(order, told, nowNanos);
            return Optional.empty();
        }
        pending = new Pending(ask(asker, holders.get(best.get()), nowNanos), best.get(), nowNanos);
        return Optional.of(pending);
    }

    /** Returns the first holder that is not known to be low, or else the one that is low for the shortest time. */
    private Optional<SocketAddress> bestToAsk(List<SocketAddress> order, long nowNanos) {
        SocketAddress best = null;
        for (SocketAddress address : order) {
            HolderState holder = holders.computeIfAbsent(address, key -> new HolderState());
            if (!holder.isEmpty(nowNanos) && !holder.isSilent(nowNanos)) {
                if (!holder.isLow(nowNanos)) {
                    return Optional.of(address);
                }
                boolean isBetter = best == null
                        || holder.lowUntilNanos() - holders.get(best).lowUntilNanos() < 0;
                best = isBetter ? address : best;
            }
        }
        return Optional.ofNullable(best);
    }

    private CapAsk ask(long asker, HolderState holder, long nowNanos) {
        lastNumber++;
        int waiting = Math.min(MAX_PERMITS, waiters.size());
        int ahead = Math.min(MAX_PERMITS, demand.likelyWithinSecond(nowNanos));
        return new CapAsk(tenantHash, asker, lastNumber, waiting, ahead, holder.takeLapsed(nowNanos));
    }

    private void refuseAll(List<SocketAddress> order, List<Told> told, long nowNanos) {
        HolderState emptyHolder = null;
        for (SocketAddress address : order) {
            HolderState holder = holders.get(address);
            boolean isEarlier = emptyHolder == null || holder.retryNanos() - emptyHolder.retryNanos() < 0;
            emptyHolder = holder.isEmpty(nowNanos) && isEarlier ? holder : emptyHolder;
        }
        for (Waiter waiter : waiters) {
            CapDecision decision = emptyHolder == null
                    ? refused(Outcome.UNDECIDED, 0)
                    : refused(Outcome.OVER_CAP, nextRetryMillis(emptyHolder, nowNanos));
            told.add(new Told(waiter.listener(), decision));
        }
        waiters.clear();
    }

    /** Spaces the callers that are refused one after the other by the time between two permits. */
    private long nextRetryMillis(HolderState holder, long nowNanos) {
        long earliestNanos = Math.max(nowNanos + NANOS_PER_MILLI, holder.retryNanos());
        nextRetryNanos = Math.min(nowNanos + MAX_RETRY_NANOS, Math.max(nextRetryNanos, earliestNanos));
        long millis = (nextRetryNanos - nowNanos) / NANOS_PER_MILLI;
        nextRetryNanos += (long) Math.min(MAX_RETRY_NANOS, NANOS_PER_SECOND / cap.perSecond());
        return Math.max(1, millis);
    }

    private static CapDecision refused(Outcome outcome, long retryMillis) {
        return new CapDecision(outcome, retryMillis, "", 0);
    }

    /**
     * Uses an answer. One that does not belong to the ask under way, or comes too late, is not used.
     *
     * @param limits limits of each shard of the tenant's cap
     * @return whether it was used
     */
    boolean answered(CapAnswer answer, SocketAddress from, ShardLimits limits, List<Told> told, long nowNanos) {
        if (pending == null
                || answer.number() != pending.ask().number()
                || !from.host().equals(pending.holder().host())) {
            return false;
        }
        Pending answeredAsk = pending;
        pending = null;
        HolderState holder = holders.get(answeredAsk.holder());
        if (answer.verdict() == CapAnswer.Verdict.NOT_HELD
                || nowNanos - answeredAsk.atNanos() >= PermitShard.ASK_LIFE_NANOS) {
            holder.wasSilent(nowNanos);
            return true;
        }
        holder.answered(answer, limits, nowNanos);
        if (answer.verdict() == CapAnswer.Verdict.EMPTY) {
            holder.becameEmpty(answer, nowNanos);
            return true;
        }
        use(answer, answeredAsk, told, nowNanos);
        return true;
    }

    private void use(CapAnswer answer, Pending answeredAsk, List<Told> told, long nowNanos) {
        int now = answer.granted();
        int later = answer.ahead();
        String grantor = answeredAsk.holder().toString();
        long ageMillis = (nowNanos - answeredAsk.atNanos()) / NANOS_PER_MILLI;
        while (now + later > 0 && !waiters.isEmpty()) {
            if (now > 0) {
                now--;
            } else {
                later--;
            }
            told.add(new Told(
                    waiters.removeFirst().listener(), new CapDecision(Outcome.GRANTED, 0, grantor, ageMillis)));
        }
        held = later;
        heldFrom = answeredAsk.holder();
        heldSinceNanos = answeredAsk.atNanos();
    }

    /** Passes over a holder that has not answered an ask in time. Returns whether it was still under way. */
    boolean timedOut(long number, long nowNanos) {
        if (pending == null || pending.ask().number() != number) {
            return false;
        }
        holders.get(pending.holder()).wasSilent(nowNanos);
        pending = null;
        return true;
    }

    private void dropLapsed(long nowNanos) {
        if (held > 0 && nowNanos - heldSinceNanos >= PermitShard.BATCH_LIFE_NANOS) {
            holders.get(heldFrom).lapsed(held, heldSinceNanos);
            held = 0;
        }
    }

    /** Returns whether nothing of this tenant waits or is under way. */
    boolean isIdle() {
        return pending == null && waiters.isEmpty();
    }

    /** Returns whether an ask is under way. */
    boolean isAsking() {
        return pending != null;
    }

    /** Returns the cap as the latest request had it. */
    RequestCap cap() {
        return cap;
    }

    long tenantHash() {
        return tenantHash;
    }

    /** Describes the desk for operators. */
    String describe(long nowNanos) {
        dropLapsed(nowNanos);
        return " held=" + held + " waiting=" + waiters.size() + (pending == null ? "" : " asking=" + pending.holder());
    }

    /** A decision and whom to tell it. */
    record Told(Consumer<CapDecision> listener, CapDecision decision) {}

    /** An ask under way. */
    record Pending(CapAsk ask, SocketAddress holder, long atNanos) {}

    /** A request that waits. */
    private record Waiter(Consumer<CapDecision> listener, long sinceNanos) {}
}
