package org.turmericspan.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.turmericspan.balancing.UpstreamIndex.ServiceUpstreams;
import org.turmericspan.balancing.UpstreamSelector.SelectionContext;
import org.turmericspan.balancing.UpstreamSelector.UpstreamCandidate;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;
import org.turmericspan.zones.ServiceRoom;
import org.turmericspan.zones.ZoneShares;

/** Table of the registered upstreams and the observed state of each, from which each attempt gets its upstream. */
public final class UpstreamTable {
    /** Weight of a new observation in the exponentially weighted moving average of the slowdown of all upstreams. */
    private static final double MEAN_WEIGHT = 0.02;

    /** Failure rate of its own attempts from which this node reports an upstream that it has not observed lately. */
    private static final double REPORTED_FAILURE_RATE = 0.05;

    private static final double PERCENT = 100.0;
    /** Age up to which the utilization of a service is used again; one request changes it little. */
    private static final long MAX_UTILIZATION_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

    private final RankedLock lock = new RankedLock(LockRank.SLOTS);
    private final UpstreamIndex index;
    private final UpstreamRegistry upstreams;
    private final RoomOutlook outlook;
    private final TypicalLatencies latencies = new TypicalLatencies();
    private final UpstreamSelector selector;
    private final MonotonicClock clock;
    private Set<AvailabilityZoneId> evacuatedZones = Set.of();
    private double meanSlowdown = 1;

    /**
     * Creates an empty table.
     *
     * @param localZone availability zone of this node
     * @param ownership decides which upstreams this node owns; called under the table's lock, must not take a lock
     * @param rules configured limits for the fleet
     * @param configuration holds the configuration of the services
     * @param clock monotonic time
     * @param random breaks ties
     */
    public UpstreamTable(
            AvailabilityZoneId localZone,
            Ownership ownership,
            BalancingRules rules,
            ConfigurationHolder configuration,
            MonotonicClock clock,
            RandomGenerator random) {
        this.index = new UpstreamIndex(localZone);
        this.upstreams = new UpstreamRegistry(index);
        this.selector = new UpstreamSelector(localZone, ownership, rules, configuration, random);
        this.clock = clock;
        this.outlook = new RoomOutlook(lock, index, () -> evacuatedZones, clock);
    }

    /**
     * Returns what the table knows of the room of each service.
     *
     * @return a view of the table
     */
    public RoomOutlook outlook() {
        return outlook;
    }

    /**
     * Adds or updates the registration of an upstream.
     *
     * @param registration the newest registration
     * @return whether it is new, or differs in more than its warm-up time
     */
    public boolean register(Registration registration) {
        boolean isChanged = lock.compute(() -> upstreams.register(registration));
        outlook.report(registration.service());
        return isChanged;
    }

    /**
     * Removes an upstream.
     *
     * @param id the upstream
     * @return whether it was registered
     */
    public boolean remove(UpstreamId id) {
        return lock.compute(() -> upstreams.remove(id));
    }

    /**
     * Returns the registration of an upstream.
     *
     * @param id the upstream
     * @return its registration; empty when it is not registered
     */
    public Optional<Registration> registration(UpstreamId id) {
        return lock.compute(() -> Optional.ofNullable(upstreams.get(id)).map(TrackedUpstream::registration));
    }

    /**
     * Returns the number of registered upstreams.
     *
     * @return number of upstreams of all services and zones
     */
    public int size() {
        return lock.compute(() -> upstreams.all().size());
    }

    /**
     * Sets the zones whose upstreams get no requests.
     *
     * @param zones evacuated availability zones
     * @return whether the set changed
     */
    public boolean setEvacuated(Set<AvailabilityZoneId> zones) {
        Set<ServiceId> services = new HashSet<>();
        boolean isChanged = lock.compute(() -> {
            boolean changed = !evacuatedZones.equals(zones);
            evacuatedZones = Set.copyOf(zones);
            upstreams
                    .all()
                    .forEach(upstream -> services.add(upstream.registration().service()));
            return changed;
        });
        services.forEach(outlook::report);
        return isChanged;
    }

    /**
     * Sets which requests leave the local zone. Without it the cost of the upstreams decides alone.
     *
     * @param shares asked under the table's lock for each choice
     */
    public void shareZones(ZoneShares shares) {
        lock.run(() -> selector.shareZones(shares));
    }

    /**
     * Lists the room of the services in the local zone.
     *
     * @return one element for each registered service of whose upstreams in the zone this node has observed enough
     */
    public List<ServiceRoom> localRooms() {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            ZoneRoom room = new ZoneRoom(evacuatedZones, meanSlowdown, now);
            List<ServiceRoom> rooms = new ArrayList<>();
            index.forEach((service, ofService) ->
                    room.slots(ofService.local()).ifPresent(slots -> rooms.add(new ServiceRoom(service, slots))));
            return rooms;
        });
    }

    /**
     * Records this node's own observation of an upstream.
     *
     * @param id the upstream
     * @param observation the observation; does not replace a newer one
     */
    public void recordObservation(UpstreamId id, Observation observation) {
        outlook.report(lock.compute(() -> {
            TrackedUpstream upstream = upstreams.get(id);
            applyLocalObservation(upstream, observation);
            if (upstream != null) {
                upstream.recordProbe(observation.atNanos());
            }
            return upstream;
        }));
    }

    private void applyLocalObservation(TrackedUpstream upstream, Observation observation) {
        if (upstream != null) {
            upstream.recordLocalObservation(observation.atNanos());
            applyObservation(upstream, observation);
        }
    }

    private void applyObservation(TrackedUpstream upstream, Observation observation) {
        if (upstream != null && upstream.replaceObservation(observation) && observation.reachable()) {
            meanSlowdown += MEAN_WEIGHT * (observation.slowdownPercent() / PERCENT - meanSlowdown);
        }
    }

    /**
     * Records the load that a response reports; health and warm-up remain as last observed. Ignored while there is no
     * observation, or the last one found the upstream unreachable.
     *
     * @param id the upstream
     * @param report its load at this moment
     */
    public void recordLoad(UpstreamId id, LoadReport report) {
        long now = clock.nowNanos();
        outlook.report(lock.compute(() -> {
            TrackedUpstream upstream = upstreams.get(id);
            if (upstream != null
                    && upstream.observation() != null
                    && upstream.observation().reachable()) {
                applyLocalObservation(upstream, upstream.withLoad(report, now));
            }
            return upstream;
        }));
    }

    /**
     * Records whether a connection to an upstream succeeded. A failure starts a backoff, a success ends it.
     *
     * @param id the upstream
     * @param reached true when a connection succeeded, false when none could be made
     */
    public void recordReachability(UpstreamId id, boolean reached) {
        outlook.report(lock.compute(() -> {
            TrackedUpstream upstream = upstreams.get(id);
            if (upstream != null && reached) {
                upstream.endBackoff();
            } else if (upstream != null) {
                upstream.startBackoff(clock.nowNanos());
            }
            return reached ? upstream : null;
        }));
    }

    /**
     * Applies what a response of an upstream says about further requests of this node. Neither a mark nor a pause is
     * ever shortened; both end with the incarnation of the upstream, not with its registration.
     *
     * @param id the upstream that sent the response
     * @param notice what it says
     * @return whether the upstream has begun to leave, or to pause
     */
    public boolean recordNotice(UpstreamId id, ServingNotice notice) {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            TrackedUpstream upstream = upstreams.get(id);
            return upstream != null && upstreams.apply(upstream, notice, now);
        });
    }

    /**
     * Returns whether an upstream may be probed.
     *
     * @param id the upstream
     * @return false while it is leaving or paused
     */
    public boolean mayProbe(UpstreamId id) {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            TrackedUpstream upstream = upstreams.get(id);
            return upstream == null || upstream.serving().takesRequests(now);
        });
    }

    /**
     * Returns when an upstream may take a request, by what the upstreams said.
     *
     * @param criteria constraints on the choice; cost and slowdown are ignored
     * @return nanoseconds from now; 0 if one may now, or none is registered; {@link Long#MAX_VALUE} if none ever will
     */
    public long untilAdmissionNanos(SelectionCriteria criteria) {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            ServiceUpstreams service = index.of(criteria.service());
            return service.isEmpty()
                    ? 0
                    : UpstreamSelector.untilAdmissionNanos(service, criteria, selectionContext(criteria, now));
        });
    }

    /**
     * Applies the reports of another node.
     *
     * @param peer the node
     * @param reports one for each upstream; those about unknown upstreams are ignored
     */
    public void applyPeerReports(String peer, Collection<PeerReport> reports) {
        Set<ServiceId> services = new HashSet<>();
        lock.run(() -> reports.forEach(report -> applyPeerReport(peer, report, services)));
        services.forEach(outlook::report);
    }

    private void applyPeerReport(String peer, PeerReport report, Set<ServiceId> services) {
        TrackedUpstream upstream = upstreams.withHash(report.upstreamHash());
        if (upstream == null) {
            return;
        }
        services.add(upstream.registration().service());
        applyObservation(upstream, report.observation());
        upstream.recordPeerReport(peer, report.inFlight(), report.failurePercent(), clock.nowNanos());
    }

    /**
     * Lists the state that this node has observed or received, to report it to other nodes.
     *
     * @param filter selects the upstreams to report
     * @return one report for each selected upstream with an observation of the last few seconds
     */
    public List<PeerReport> reports(Predicate<Registration> filter) {
        return reportsOf((upstream, now) -> filter.test(upstream.registration()));
    }

    /**
     * Lists the state that this node observed itself. For nodes of the own zone, which receive the reports of every
     * node of the zone first-hand.
     *
     * @param maxAgeNanos age up to which this node's own observations are included
     * @return one report for each upstream that this node observed within that age, or at which requests of this node
     *     are in flight or failed lately; only upstreams with a fresh observation from any node
     */
    public List<PeerReport> localReports(long maxAgeNanos) {
        return reportsOf((upstream, now) -> now - upstream.locallyObservedNanos() <= maxAgeNanos
                || upstream.localInFlight() > 0
                || upstream.localFailureRate(now) >= REPORTED_FAILURE_RATE);
    }

    private List<PeerReport> reportsOf(BiPredicate<TrackedUpstream, Long> filter) {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            List<PeerReport> reports = new ArrayList<>();
            for (TrackedUpstream upstream : upstreams.all()) {
                if (UpstreamSelector.isFresh(upstream, now) && filter.test(upstream, now)) {
                    reports.add(new PeerReport(upstream.hash(), upstream.observation(), upstream.localInFlight(), (int)
                            (PERCENT * upstream.localFailureRate(now))));
                }
            }
            return reports;
        });
    }

    /**
     * Lists the upstreams that this node must probe.
     *
     * @param starting whether this node has not joined yet and therefore probes those of its zone that it prefers, a
     *     few of each service, instead of what it owns
     * @param maxAgeNanos age of this node's own observation up to which an upstream needs no probe
     * @param maxHealthAgeNanos age of this node's last probe from which an upstream is probed all the same, since the
     *     load in its responses does not show whether it is healthy
     * @return registrations of upstreams that are not draining
     */
    public List<Registration> probeTargets(boolean starting, long maxAgeNanos, long maxHealthAgeNanos) {
        ProbeTargets targets = new ProbeTargets(selector, index, clock.nowNanos());
        return lock.compute(() -> targets.select(upstreams.all(), starting, maxAgeNanos, maxHealthAgeNanos));
    }

    /**
     * Returns whether at least as many upstreams of the local zone have an observation of the last few seconds as half
     * of those that a starting node probes.
     *
     * @return true also when none is registered
     */
    public boolean hasRecentObservations() {
        ProbeTargets targets = new ProbeTargets(selector, index, clock.nowNanos());
        return lock.compute(() -> targets.isStartSufficient(upstreams.all()));
    }

    /**
     * Selects the upstream of lowest predicted cost and adds the attempt to its load.
     *
     * @param criteria constraints on the choice
     * @return the placement; empty when no upstream can take the request now
     */
    public Optional<Placement> choose(SelectionCriteria criteria) {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            SelectionContext context = selectionContext(criteria, now);
            return selector.choose(index.of(criteria.service()), criteria, context)
                    .map(candidate -> place(candidate, criteria.route(), context));
        });
    }

    /**
     * Returns the capacity of a service for a request, regardless of cost.
     *
     * @param criteria constraints on the choice
     * @return capacity at this moment
     */
    public ServiceCapacity capacity(SelectionCriteria criteria) {
        long now = clock.nowNanos();
        return lock.compute(
                () -> selector.capacity(index.of(criteria.service()), criteria, selectionContext(criteria, now)));
    }

    private SelectionContext selectionContext(SelectionCriteria criteria, long now) {
        double utilization = ConcurrencyLimit.dependsOnUtilization(criteria.priority())
                ? utilization(index.of(criteria.service()), now)
                : 0;
        return new SelectionContext(evacuatedZones, utilization, meanSlowdown, latencies.nanos(criteria.route()), now);
    }

    private double utilization(ServiceUpstreams service, long now) {
        if (!service.hasUtilization(MAX_UTILIZATION_AGE_NANOS, now)) {
            service.setUtilization(UpstreamSelector.utilization(service, evacuatedZones, now), now);
        }
        return service.utilization();
    }

    /**
     * Lists the upstreams to probe on demand before {@link #choose}.
     *
     * @param criteria constraints on the choice
     * @return the cheapest candidates that were not observed within the last milliseconds; empty when the cheapest was
     *     and its cost is good
     */
    public List<Registration> candidatesToProbe(SelectionCriteria criteria) {
        long now = clock.nowNanos();
        return lock.compute(() ->
                selector
                        .candidatesToProbe(index.of(criteria.service()), criteria, selectionContext(criteria, now))
                        .stream()
                        .map(TrackedUpstream::registration)
                        .toList());
    }

    private Placement place(UpstreamCandidate candidate, RouteId route, SelectionContext context) {
        Placement placement = candidate.placement(route, context);
        candidate.upstream().recordStart(placement.startedNanos());
        if (placement.cold()) {
            candidate.upstream().coldRateLimiter().record(placement.startedNanos());
        }
        return placement;
    }

    /**
     * Removes an attempt from the load of its upstream and records its result.
     *
     * @param placement placement of the attempt
     * @param result result of the attempt
     */
    public void finish(Placement placement, AttemptResult result) {
        long now = clock.nowNanos();
        outlook.report(lock.compute(() -> {
            TrackedUpstream upstream = upstreams.get(placement.upstream());
            if (upstream != null) {
                upstream.recordEnd(placement.startedNanos(), result, now);
            }
            if (result == AttemptResult.SUCCESS) {
                latencies.addSample(placement, now);
            }
            return upstream;
        }));
    }

    /**
     * Returns the typical latency of a route at an idle upstream.
     *
     * @param route the route
     * @return nanoseconds; 0 when there is no sample
     */
    public long typicalLatencyNanos(RouteId route) {
        return lock.compute(() -> latencies.nanos(route));
    }

    /**
     * Returns the last observed slowdown of an upstream.
     *
     * @param id the upstream
     * @return current service time in percent of the normal one; 100 when there is no observation
     */
    public int slowdownPercent(UpstreamId id) {
        return lock.compute(() -> {
            TrackedUpstream upstream = upstreams.get(id);
            return upstream == null || upstream.observation() == null
                    ? LoadReport.NORMAL.slowdownPercent()
                    : upstream.observation().slowdownPercent();
        });
    }

    /**
     * Formats all upstreams for a state dump.
     *
     * @return one line for each upstream, sorted
     */
    public List<String> describe() {
        long now = clock.nowNanos();
        return lock.compute(() -> upstreams.all().stream()
                .map(upstream -> upstream.describe(now) + " owned=" + selector.owns(upstream.registration()))
                .sorted()
                .toList());
    }
}
