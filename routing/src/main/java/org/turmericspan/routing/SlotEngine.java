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
 * Decision logic of an owner: takes an event and returns a list of actions. It calls nothing, reads no clock and is not
 * thread-safe; {@link SlotTable} guards it with a lock.
 */
public final class SlotEngine {
    /** Assumed delay until a request starts under a lent slot, since the borrower may pass it on within this time. */
    private static final long LENT_START_DELAY_NANOS = LeaseReuse.WINDOW.toNanos();

    private final VmId self;
    private final Incarnation incarnation;
    private final SlotRules rules;
    private final Map<UpstreamId, UpstreamSlots> owned = new HashMap<>();
    private final Map<ServiceId, ServiceSlots> services = new HashMap<>();
    private final Map<LeaseId, Lease> leases = new HashMap<>();
    private final TakeoverGracePeriods gracePeriods = new TakeoverGracePeriods();
    private final DepartedOwners departedOwners = new DepartedOwners();
    private final Handovers handovers;
    private final PauseDetector pauseDetector;
    private final List<SlotAction> actions = new ArrayList<>();
    private OwnershipMap ownershipMap;
    private Set<VmId> otherNodes = Set.of();
    private long lastSequence;
    private long nowNanos;
    private long coldTransitions;

    /**
     * Creates an engine that owns no upstream yet.
     *
     * @param self VM of this node
     * @param incarnation incarnation of this process, part of each lease identifier
     * @param rules rules by which slots are granted
     */
    public SlotEngine(VmId self, Incarnation incarnation, SlotRules rules) {
        this.self = self;
        this.incarnation = incarnation;
        this.rules = rules;
        this.handovers = new Handovers(self);
        this.pauseDetector = new PauseDetector(rules);
    }

    /**
     * Decides on one event.
     *
     * @param event what happened
     * @param atNanos monotonic time at which it happened
     * @return what to do, in this order
     */
    public List<SlotAction> handle(SlotEvent event, long atNanos) {
        nowNanos = atNanos;
        actions.clear();
        if (event instanceof SlotEvent.SlotRequested requested) {
            requestSlot(requested.requestId(), requested.slotRequest());
        } else if (event instanceof SlotEvent.Returned returned) {
            returnSlot(returned);
        } else if (event instanceof SlotEvent.Ticked ticked) {
            tick(ticked.viewConfirmedNanos());
        } else if (event instanceof SlotEvent.RequestCancelled cancelled) {
            services.values().forEach(slots -> slots.queue().remove(cancelled.requestId()));
        } else if (event instanceof SlotEvent.BorrowedSlotAvailable available) {
            assignBorrowedSlot(available);
        } else if (event instanceof SlotEvent.ProbeResultReceived result) {
            recordProbeResult(result);
        } else {
            handleFleetEvent(event);
        }
        return List.copyOf(actions);
    }

    /**
     * Describes the owned upstreams.
     *
     * @param atNanos monotonic time
     * @return their states, in no particular order
     */
    public List<UpstreamState> describe(long atNanos) {
        return owned.values().stream().map(slots -> slots.describe(atNanos)).toList();
    }

    /**
     * Describes the idle slots for the other nodes.
     *
     * @param atNanos monotonic time
     * @return one entry for each service of which this node owns upstreams
     */
    public List<PeerMessage.IdleSlots> idleSlots(long atNanos) {
        List<PeerMessage.IdleSlots> idle = new ArrayList<>();
        services.forEach((service, slots) -> {
            if (!slots.upstreams().isEmpty()) {
                idle.add(new PeerMessage.IdleSlots(
                        service, slots.countIdle(atNanos), slots.queue().size()));
            }
        });
        return idle;
    }

    /**
     * Counts leases, queued requests and cold transitions.
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
            waiting += slots.queue().size();
        }
        return new SlotCounts(leases.size() - lent, lent, waiting, coldTransitions, pauseDetector.isSuspended());
    }

    private void handleFleetEvent(SlotEvent event) {
        if (event instanceof SlotEvent.OwnershipChanged changed) {
            updateOwnership(changed.ownershipMap());
        } else if (event instanceof SlotEvent.HandedOver handedOver) {
            acceptHandover(handedOver);
        } else if (event instanceof SlotEvent.PeerIncarnationSeen seen && ownershipMap != null) {
            departedOwners.recordIncarnation(seen.peer(), seen.incarnation(), ownershipMap, nowNanos);
        } else if (event instanceof SlotEvent.LeaseQueryReceived query && ownershipMap != null) {
            departedOwners.recordIncarnation(query.from(), query.requesterIncarnation(), ownershipMap, nowNanos);
            actions.add(new SlotAction.ReportLeases(query.upstreams().stream()
                    .filter(this::mayHaveRunningRequests)
                    .toList()));
        } else if (event instanceof SlotEvent.LeaseReportReceived report) {
            gracePeriods.recordReport(report.from(), report.queried(), report.held());
            endGracePeriods();
        }
    }

    private void requestSlot(SlotRequestId requestId, SlotRequest request) {
        ServiceSlots slots = services.computeIfAbsent(request.service(), service -> new ServiceSlots());
        QueuedRequest queued =
                new QueuedRequest(requestId, request, requestId.requester().equals(self), nowNanos);
        UpstreamSlots best = slots.queue().isEmpty() || request.idleOnly() ? choose(slots, queued) : null;
        if (best != null) {
            grant(best, queued);
        } else if (request.idleOnly() || (!queued.isLocal() && slots.upstreams().isEmpty())) {
            actions.add(new SlotAction.Deny(requestId, ResultCode.NO_CAPACITY));
        } else {
            slots.queue().put(requestId, queued);
            dispatch(slots);
            if (queued.isLocal() && slots.queue().containsKey(requestId)) {
                actions.add(new SlotAction.TryBorrow(requestId, request));
            }
        }
    }

    private UpstreamSlots choose(ServiceSlots slots, QueuedRequest queued) {
        if (pauseDetector.isSuspended() || pauseDetector.hasPaused(nowNanos)) {
            return null;
        }
        return slots.selectUpstream(queued, otherNodes.isEmpty() || pauseDetector.isViewFresh(nowNanos), nowNanos);
    }

    /**
     * Grants slots to queued requests, oldest first. Once a request that accepts any upstream finds no slot, later ones
     * are not tried: none at all when it is local, and no remote one otherwise, since cold upstreams may be open to
     * local requests only.
     */
    private void dispatch(ServiceSlots slots) {
        Iterator<QueuedRequest> waiting = slots.queue().values().iterator();
        boolean remoteRequestsBlocked = false;
        while (waiting.hasNext()) {
            QueuedRequest queued = waiting.next();
            if (remoteRequestsBlocked && !queued.isLocal()) {
                continue;
            }
            UpstreamSlots best = choose(slots, queued);
            if (best != null) {
                waiting.remove();
                grant(best, queued);
            } else if (queued.acceptsAnyUpstream()) {
                if (queued.isLocal()) {
                    return;
                }
                remoteRequestsBlocked = true;
            }
        }
    }

    private void grant(UpstreamSlots slots, QueuedRequest queued) {
        lastSequence++;
        LeaseId id = new LeaseId(incarnation, lastSequence);
        long deadlineNanos = Math.min(
                queued.slotRequest().deadlineNanos(),
                nowNanos + slots.service().longestLease().toNanos());
        long startedNanos = queued.isLocal() ? nowNanos : nowNanos + LENT_START_DELAY_NANOS;
        Lease lease = new Lease(
                id,
                slots.upstream().id(),
                queued.requestId().requester(),
                startedNanos,
                deadlineNanos,
                slots.generation());
        slots.start(lease, nowNanos);
        leases.put(id, lease);
        actions.add(new SlotAction.Grant(
                queued.requestId(),
                new GrantedSlot(id, slots.upstream().id(), slots.upstream().address(), deadlineNanos)));
    }

    private void assignBorrowedSlot(SlotEvent.BorrowedSlotAvailable available) {
        ServiceSlots slots = services.get(available.service());
        if (slots != null) {
            slots.dequeueFor(available)
                    .ifPresent(requestId -> actions.add(new SlotAction.AssignBorrowedSlot(requestId)));
        }
    }

    private void returnSlot(SlotEvent.Returned returned) {
        Lease lease = leases.remove(returned.lease());
        if (lease == null) {
            handovers
                    .takeNewOwner(returned.lease())
                    .ifPresent(newOwner -> actions.add(
                            new SlotAction.ForwardReturn(newOwner, returned.lease(), returned.slotReturn())));
            return;
        }
        UpstreamSlots slots = owned.get(lease.upstream());
        if (slots != null) {
            if (slots.finish(lease, returned.slotReturn(), nowNanos)) {
                handleColdTransition(slots);
            }
            dispatch(services.get(slots.upstream().service()));
        }
    }

    private void recordProbeResult(SlotEvent.ProbeResultReceived result) {
        UpstreamSlots slots = owned.get(result.upstream());
        if (slots != null && slots.recordSignals(result.signals(), true, nowNanos)) {
            handleColdTransition(slots);
        }
    }

    private void handleColdTransition(UpstreamSlots slots) {
        coldTransitions++;
        for (Lease lease : slots.runningLeases()) {
            actions.add(new SlotAction.Recall(lease.holder(), lease.id()));
        }
    }

    private void tick(long viewConfirmedNanos) {
        if (pauseDetector.tick(nowNanos, viewConfirmedNanos, !otherNodes.isEmpty())) {
            leases.values().forEach(lease -> actions.add(new SlotAction.Recall(lease.holder(), lease.id())));
        }
        expireLeases();
        services.values()
                .forEach(slots -> slots.removeExpired(nowNanos)
                        .forEach(requestId ->
                                actions.add(new SlotAction.Deny(requestId, ResultCode.DEADLINE_BEFORE_SEND))));
        endGracePeriods();
        handovers.expire(nowNanos);
        gracePeriods
                .dueQueries(nowNanos)
                .forEach((vm, upstreams) -> actions.add(new SlotAction.SendLeaseQuery(vm, upstreams)));
        services.values().forEach(this::dispatch);
    }

    private void expireLeases() {
        Iterator<Lease> iterator = leases.values().iterator();
        while (iterator.hasNext()) {
            Lease lease = iterator.next();
            if (nowNanos >= lease.deadlineNanos()) {
                iterator.remove();
                UpstreamSlots slots = owned.get(lease.upstream());
                if (slots != null) {
                    slots.expire(lease.id(), nowNanos);
                }
            }
        }
    }

    private void endGracePeriods() {
        for (UpstreamId upstream : gracePeriods.removeEnded(nowNanos)) {
            UpstreamSlots slots = owned.get(upstream);
            if (slots != null && slots.phase() == Phase.RESTING) {
                slots.endGracePeriod(ColdReason.NEW, nowNanos);
                coldTransitions++;
                dispatch(services.get(slots.upstream().service()));
            }
        }
    }

    private boolean mayHaveRunningRequests(UpstreamId upstream) {
        UpstreamSlots slots = owned.get(upstream);
        return (slots != null && slots.phase() != Phase.RESTING)
                || leases.values().stream().anyMatch(lease -> lease.upstream().equals(upstream))
                || handovers.mayHaveRunningRequests(upstream, nowNanos)
                || departedOwners.mayHaveRunningRequests(upstream, nowNanos);
    }

    private void acceptHandover(SlotEvent.HandedOver event) {
        UpstreamId id = event.handover().upstream();
        handovers.addPending(event.handover(), nowNanos);
        UpstreamSlots slots = owned.get(id);
        if (slots != null && slots.phase() == Phase.RESTING) {
            handovers.takePending(id, nowNanos).ifPresent(pending -> restoreFrom(slots, pending));
            gracePeriods.cancel(id);
            dispatch(services.get(slots.upstream().service()));
        }
    }

    private void restoreFrom(UpstreamSlots slots, Handovers.PendingHandover pendingHandover) {
        List<Lease> running = pendingHandover.leases(nowNanos, slots.generation());
        running.forEach(lease -> leases.put(lease.id(), lease));
        PeerMessage.Handover handover = pendingHandover.handover();
        slots.restoreFromHandover(handover.warm(), handover.allowance(), handover.upstreamIncarnation(), running);
    }

    private void updateOwnership(OwnershipMap newMap) {
        if (ownershipMap != null) {
            departedOwners.onOwnershipChanged(ownershipMap, newMap, rules.viewLagBound(), nowNanos);
        }
        ownershipMap = newMap;
        otherNodes = new HashSet<>();
        newMap.view().entryVms().stream()
                .map(Vm::id)
                .filter(vm -> newMap.sharesRegion(self, vm))
                .filter(vm -> !vm.equals(self))
                .forEach(otherNodes::add);
        for (UpstreamId id : List.copyOf(owned.keySet())) {
            if (!self.equals(newMap.owners().get(id))) {
                releaseOwnership(
                        owned.remove(id), Optional.ofNullable(newMap.owners().get(id)));
            }
        }
        newMap.owners().forEach((id, owner) -> {
            if (owner.equals(self)) {
                takeOwnership(newMap.configuration().upstreams().get(id));
            } else {
                handovers
                        .takePending(id, nowNanos)
                        .ifPresent(pending ->
                                actions.add(new SlotAction.HandOver(owner, pending.withElapsedTime(nowNanos))));
            }
        });
        groupByService();
        endGracePeriods();
        services.values().forEach(this::dispatch);
    }

    private void takeOwnership(Upstream upstream) {
        UpstreamListing listing = UpstreamListing.of(ownershipMap, upstream);
        var service = ownershipMap.configuration().services().get(upstream.service());
        UpstreamSlots existing = owned.get(upstream.id());
        if (existing != null) {
            if (existing.applyConfiguration(upstream, service, listing, nowNanos)
                    || !existing.phase().isGranting()) {
                recallLeases(existing);
            }
            return;
        }
        UpstreamSlots added = new UpstreamSlots(rules, upstream, service, Phase.RESTING);
        added.setListing(listing);
        owned.put(upstream.id(), added);
        Optional<Handovers.PendingHandover> pending = handovers.takePending(upstream.id(), nowNanos);
        if (pending.isPresent()) {
            restoreFrom(added, pending.get());
        } else {
            Duration gracePeriod = rules.viewLagBound().plus(service.longestLease());
            gracePeriods.begin(
                    upstream.id(),
                    nowNanos + (rules.hasGracePeriod() ? gracePeriod.toNanos() : 0),
                    rules.hasGracePeriod() ? otherNodes : Set.of());
        }
    }

    private void recallLeases(UpstreamSlots slots) {
        slots.runningLeases().forEach(lease -> actions.add(new SlotAction.Recall(lease.holder(), lease.id())));
    }

    private void releaseOwnership(UpstreamSlots slots, Optional<VmId> newOwner) {
        gracePeriods.cancel(slots.upstream().id());
        List<Lease> running = slots.removeLeases();
        running.forEach(lease -> leases.remove(lease.id()));
        if (slots.phase() == Phase.RESTING || newOwner.isEmpty()) {
            return;
        }
        PeerMessage.Handover handover = handovers.handOver(slots, running, newOwner.get(), nowNanos);
        actions.add(new SlotAction.HandOver(newOwner.get(), handover));
    }

    private void groupByService() {
        Map<ServiceId, List<UpstreamSlots>> byService = new HashMap<>();
        owned.values()
                .forEach(slots -> byService
                        .computeIfAbsent(slots.upstream().service(), service -> new ArrayList<>())
                        .add(slots));
        byService.keySet().forEach(service -> services.computeIfAbsent(service, key -> new ServiceSlots()));
        services.forEach((service, slots) -> slots.setUpstreams(byService.getOrDefault(service, new ArrayList<>())));
    }
}
