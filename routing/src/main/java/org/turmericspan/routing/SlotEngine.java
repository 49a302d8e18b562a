package org.turmericspan.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.config.Upstream;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.Vm;
import org.turmericspan.messages.PeerMessage;

/**
 * Decisions of a keeper: an event goes in, a list of actions comes out. It calls nothing, reads no clock and is not
 * safe for threads; {@link SlotTable} puts its lock around it.
 */
public final class SlotEngine {
    private static final long LENT_GRACE_NANOS = LeaseReuse.WINDOW.toNanos();

    private final VmId self;
    private final Incarnation incarnation;
    private final SlotRules rules;
    private final Map<UpstreamId, UpstreamSlots> kept = new HashMap<>();
    private final Map<ServiceId, ServiceSlots> services = new HashMap<>();
    private final Map<LeaseId, Lease> leases = new HashMap<>();
    private final Guard guard = new Guard();
    private final Departures departures = new Departures();
    private final Handovers handovers;
    private final Wakefulness wakefulness;
    private final List<SlotAction> actions = new ArrayList<>();
    private OwnershipMap map;
    private Set<VmId> others = Set.of();
    private long nextSequence;
    private long nowNanos;
    private long coldCount;

    /**
     * Creates an engine that keeps nothing yet.
     *
     * @param self VM of this node
     * @param incarnation this life of the process, which marks the leases
     * @param rules rules by which slots are granted
     */
    public SlotEngine(VmId self, Incarnation incarnation, SlotRules rules) {
        this.self = self;
        this.incarnation = incarnation;
        this.rules = rules;
        this.handovers = new Handovers(self);
        this.wakefulness = new Wakefulness(rules);
    }

    /**
     * Decides on one event.
     *
     * @param event what happened
     * @param atNanos monotonic time at which it happened
     * @return what to do, in this order
     */
    public List<SlotAction> on(SlotEvent event, long atNanos) {
        nowNanos = atNanos;
        actions.clear();
        if (event instanceof SlotEvent.Wished wished) {
            wish(wished.key(), wished.slotRequest());
        } else if (event instanceof SlotEvent.Returned returned) {
            takeBack(returned);
        } else if (event instanceof SlotEvent.Ticked ticked) {
            tick(ticked.viewConfirmedNanos());
        } else if (event instanceof SlotEvent.Withdrawn withdrawn) {
            services.values().forEach(slots -> slots.waiters().remove(withdrawn.key()));
        } else if (event instanceof SlotEvent.Offered offered) {
            offer(offered);
        } else if (event instanceof SlotEvent.Observed observed) {
            observe(observed);
        } else {
            onFleetEvent(event);
        }
        return List.copyOf(actions);
    }

    /**
     * Describes the kept upstreams.
     *
     * @param atNanos monotonic time
     * @return their states, in no order
     */
    public List<UpstreamState> describe(long atNanos) {
        return kept.values().stream().map(slots -> slots.describe(atNanos)).toList();
    }

    /**
     * Describes the idle slots for the other nodes.
     *
     * @param atNanos monotonic time
     * @return one entry for each service of which this node keeps upstreams
     */
    public List<PeerMessage.IdleSlots> idleSlots(long atNanos) {
        List<PeerMessage.IdleSlots> idle = new ArrayList<>();
        services.forEach((service, slots) -> {
            if (!slots.upstreams().isEmpty()) {
                idle.add(new PeerMessage.IdleSlots(
                        service, slots.idle(atNanos), slots.waiters().size()));
            }
        });
        return idle;
    }

    /**
     * Counts leases, waiting wishes and cold transitions.
     *
     * @return the counts
     */
    public SlotCounts counts() {
        int lent = 0;
        for (Lease lease : leases.values()) {
            lent += lease.holder().equals(self) ? 0 : 1;
        }
        int waiting = 0;
        for (ServiceSlots slots : services.values()) {
            waiting += slots.waiters().size();
        }
        return new SlotCounts(leases.size() - lent, lent, waiting, coldCount, wakefulness.isSuspended());
    }

    private void onFleetEvent(SlotEvent event) {
        if (event instanceof SlotEvent.MapChanged changed) {
            changeMap(changed.map());
        } else if (event instanceof SlotEvent.HandedOver handedOver) {
            takeOver(handedOver);
        } else if (event instanceof SlotEvent.PeerSeen seen && map != null) {
            departures.seen(seen.peer(), seen.incarnation(), map, nowNanos);
        } else if (event instanceof SlotEvent.LeasesQueried queried && map != null) {
            departures.seen(queried.from(), queried.asker(), map, nowNanos);
            actions.add(new SlotAction.Held(
                    queried.upstreams().stream().filter(this::mayStillRun).toList()));
        } else if (event instanceof SlotEvent.LeasesAnswered answered) {
            guard.answered(answered.from(), answered.asked(), answered.held());
            endRests();
        }
    }

    private void wish(WishKey key, SlotRequest request) {
        ServiceSlots slots = services.computeIfAbsent(request.service(), service -> new ServiceSlots());
        Waiter waiter = new Waiter(key, request, key.requester().equals(self), nowNanos);
        UpstreamSlots best = slots.waiters().isEmpty() || request.idleOnly() ? choose(slots, waiter) : null;
        if (best != null) {
            grant(best, waiter);
        } else if (request.idleOnly() || (!waiter.isOwn() && slots.upstreams().isEmpty())) {
            actions.add(new SlotAction.Deny(key, ResultCode.NO_CAPACITY));
        } else {
            slots.waiters().put(key, waiter);
            dispatch(slots);
            if (waiter.isOwn() && slots.waiters().containsKey(key)) {
                actions.add(new SlotAction.Park(key, request));
            }
        }
    }

    private UpstreamSlots choose(ServiceSlots slots, Waiter waiter) {
        if (wakefulness.isSuspended() || wakefulness.isLate(nowNanos)) {
            return null;
        }
        return slots.best(waiter, others.isEmpty() || wakefulness.isViewFresh(nowNanos), nowNanos);
    }

    private void dispatch(ServiceSlots slots) {
        Iterator<Waiter> waiting = slots.waiters().values().iterator();
        boolean remoteFailed = false;
        while (waiting.hasNext()) {
            Waiter waiter = waiting.next();
            if (remoteFailed && !waiter.isOwn()) {
                continue;
            }
            UpstreamSlots best = choose(slots, waiter);
            if (best != null) {
                waiting.remove();
                grant(best, waiter);
            } else if (waiter.takesAnyUpstream()) {
                if (waiter.isOwn()) {
                    return;
                }
                remoteFailed = true;
            }
        }
    }

    private void grant(UpstreamSlots slots, Waiter waiter) {
        nextSequence++;
        LeaseId id = new LeaseId(incarnation, nextSequence);
        long deadlineNanos = Math.min(
                waiter.slotRequest().deadlineNanos(),
                nowNanos + slots.service().longestLease().toNanos());
        long startedNanos = waiter.isOwn() ? nowNanos : nowNanos + LENT_GRACE_NANOS;
        Lease lease = new Lease(
                id, slots.upstream().id(), waiter.key().requester(), startedNanos, deadlineNanos, slots.life());
        slots.start(lease, nowNanos);
        leases.put(id, lease);
        actions.add(new SlotAction.Grant(
                waiter.key(),
                new GrantedSlot(id, slots.upstream().id(), slots.upstream().address(), deadlineNanos)));
    }

    private void offer(SlotEvent.Offered offered) {
        ServiceSlots slots = services.get(offered.service());
        if (slots != null) {
            slots.takeWaiterFor(offered).ifPresent(key -> actions.add(new SlotAction.Match(key)));
        }
    }

    private void takeBack(SlotEvent.Returned returned) {
        Lease lease = leases.remove(returned.lease());
        if (lease == null) {
            handovers
                    .forward(returned.lease())
                    .ifPresent(
                            next -> actions.add(new SlotAction.Forward(next, returned.lease(), returned.slotReturn())));
            return;
        }
        UpstreamSlots slots = kept.get(lease.upstream());
        if (slots != null) {
            if (slots.finish(lease, returned.slotReturn(), nowNanos)) {
                recallAll(slots);
            }
            dispatch(services.get(slots.upstream().service()));
        }
    }

    private void observe(SlotEvent.Observed observed) {
        UpstreamSlots slots = kept.get(observed.upstream());
        if (slots != null && slots.observe(observed.signals(), true, nowNanos)) {
            recallAll(slots);
        }
    }

    private void recallAll(UpstreamSlots slots) {
        coldCount++;
        for (Lease lease : slots.running()) {
            actions.add(new SlotAction.Recall(lease.holder(), lease.id()));
        }
    }

    private void tick(long viewConfirmedNanos) {
        if (wakefulness.tick(nowNanos, viewConfirmedNanos, !others.isEmpty())) {
            leases.values().forEach(lease -> actions.add(new SlotAction.Recall(lease.holder(), lease.id())));
        }
        expireLeases();
        services.values()
                .forEach(slots -> slots.takeLateWaiters(nowNanos)
                        .forEach(key -> actions.add(new SlotAction.Deny(key, ResultCode.DEADLINE_BEFORE_SEND))));
        endRests();
        handovers.expire(nowNanos);
        guard.dueQueries(nowNanos).forEach((vm, upstreams) -> actions.add(new SlotAction.Query(vm, upstreams)));
        services.values().forEach(this::dispatch);
    }

    private void expireLeases() {
        Iterator<Lease> held = leases.values().iterator();
        while (held.hasNext()) {
            Lease lease = held.next();
            if (nowNanos >= lease.deadlineNanos()) {
                held.remove();
                UpstreamSlots slots = kept.get(lease.upstream());
                if (slots != null) {
                    slots.expire(lease.id(), nowNanos);
                }
            }
        }
    }

    private void endRests() {
        for (UpstreamId upstream : guard.takeEnded(nowNanos)) {
            UpstreamSlots slots = kept.get(upstream);
            if (slots != null && slots.phase() == Phase.RESTING) {
                slots.endRest(ColdReason.NEW, nowNanos);
                coldCount++;
                dispatch(services.get(slots.upstream().service()));
            }
        }
    }

    private boolean mayStillRun(UpstreamId upstream) {
        UpstreamSlots slots = kept.get(upstream);
        return (slots != null && slots.phase() != Phase.RESTING)
                || leases.values().stream().anyMatch(lease -> lease.upstream().equals(upstream))
                || handovers.mayRun(upstream, nowNanos)
                || departures.mayRun(upstream, nowNanos);
    }

    private void takeOver(SlotEvent.HandedOver event) {
        UpstreamId id = event.handover().upstream();
        handovers.received(event.handover(), nowNanos);
        UpstreamSlots slots = kept.get(id);
        if (slots != null && slots.phase() == Phase.RESTING) {
            handovers.take(id, nowNanos).ifPresent(received -> resume(slots, received));
            guard.cancel(id);
            dispatch(services.get(slots.upstream().service()));
        }
    }

    private void resume(UpstreamSlots slots, Handovers.Received received) {
        List<Lease> running = received.leases(nowNanos, slots.life());
        running.forEach(lease -> leases.put(lease.id(), lease));
        PeerMessage.Handover handover = received.handover();
        slots.takeOver(handover.warm(), handover.allowance(), handover.upstreamIncarnation(), running);
    }

    private void changeMap(OwnershipMap next) {
        if (map != null) {
            departures.listChanged(map, next, rules.viewLagBound(), nowNanos);
        }
        map = next;
        others = new HashSet<>();
        next.view().entryVms().stream()
                .map(Vm::id)
                .filter(vm -> next.sharesRegion(self, vm))
                .filter(vm -> !vm.equals(self))
                .forEach(others::add);
        for (UpstreamId id : List.copyOf(kept.keySet())) {
            if (!self.equals(next.owners().get(id))) {
                letGo(kept.remove(id), Optional.ofNullable(next.owners().get(id)));
            }
        }
        next.owners().forEach((id, keeper) -> {
            if (keeper.equals(self)) {
                keep(next.configuration().upstreams().get(id));
            } else {
                handovers
                        .take(id, nowNanos)
                        .ifPresent(
                                received -> actions.add(new SlotAction.HandOver(keeper, received.remaining(nowNanos))));
            }
        });
        regroup();
        endRests();
        services.values().forEach(this::dispatch);
    }

    private void keep(Upstream upstream) {
        UpstreamListing listing = UpstreamListing.of(map, upstream);
        var service = map.configuration().services().get(upstream.service());
        UpstreamSlots known = kept.get(upstream.id());
        if (known != null) {
            if (known.update(upstream, service, listing, nowNanos)
                    || !known.phase().isGranting()) {
                recallLeases(known);
            }
            return;
        }
        UpstreamSlots fresh = new UpstreamSlots(rules, upstream, service, Phase.RESTING);
        fresh.list(listing);
        kept.put(upstream.id(), fresh);
        Optional<Handovers.Received> received = handovers.take(upstream.id(), nowNanos);
        if (received.isPresent()) {
            resume(fresh, received.get());
        } else {
            Duration wait = rules.viewLagBound().plus(service.longestLease());
            guard.begin(
                    upstream.id(),
                    nowNanos + (rules.guarded() ? wait.toNanos() : 0),
                    rules.guarded() ? others : Set.of());
        }
    }

    private void recallLeases(UpstreamSlots slots) {
        slots.running().forEach(lease -> actions.add(new SlotAction.Recall(lease.holder(), lease.id())));
    }

    private void letGo(UpstreamSlots slots, Optional<VmId> next) {
        guard.cancel(slots.upstream().id());
        List<Lease> running = slots.drain();
        running.forEach(lease -> leases.remove(lease.id()));
        if (slots.phase() == Phase.RESTING || next.isEmpty()) {
            return;
        }
        PeerMessage.Handover handover = handovers.give(slots, running, next.get(), nowNanos);
        actions.add(new SlotAction.HandOver(next.get(), handover));
    }

    private void regroup() {
        Map<ServiceId, List<UpstreamSlots>> byService = new HashMap<>();
        kept.values()
                .forEach(slots -> byService
                        .computeIfAbsent(slots.upstream().service(), service -> new ArrayList<>())
                        .add(slots));
        byService.keySet().forEach(service -> services.computeIfAbsent(service, key -> new ServiceSlots()));
        services.forEach((service, slots) -> slots.replace(byService.getOrDefault(service, new ArrayList<>())));
    }
}
