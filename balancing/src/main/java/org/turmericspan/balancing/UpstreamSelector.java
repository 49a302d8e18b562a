package org.turmericspan.balancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.turmericspan.balancing.UpstreamIndex.ServiceUpstreams;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.StableHash;
import org.turmericspan.zones.ZonePreference;
import org.turmericspan.zones.ZoneShares;

/** Selects upstreams by their estimated state, which is guarded by the lock of the upstream table. */
final class UpstreamSelector {
    /** Age up to which an observation is fresh; an older one does not prove that the upstream is still warm. */
    private static final long OBSERVATION_TTL_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Cost added to an upstream of the local zone that another node owns, so that nodes prefer different upstreams. */
    private static final double NOT_OWNED_COST = 0.08;
    /** Cost added to an upstream in a remote zone, for network latency and the price of cross-zone traffic. */
    private static final double OTHER_ZONE_COST = 0.3;
    /**
     * Maximum number of candidates probed on demand before a choice. Three are rarely all slowed down by other
     * requests.
     */
    private static final int MAX_PROBED_CANDIDATES = 3;
    /**
     * Maximum age of an observation for which an upstream is not probed again before a choice. Service times change
     * every few hundred milliseconds.
     */
    private static final long JUST_OBSERVED_NANOS = TimeUnit.MILLISECONDS.toNanos(12);
    /** Cost up to which the cheapest upstream is used without a probe: normal service time, and not nearly full. */
    private static final double GOOD_COST = 1.25;
    /** Cost up to which an upstream of the remote zone of a request that leaves is used. */
    private static final double GOOD_REMOTE_COST = GOOD_COST + OTHER_ZONE_COST;
    /** Cost up to which a request that stays is served in the local zone: nearly full, but not queued. */
    private static final double MAX_STAY_COST = 2;
    /** Minimum cost assumed for an upstream without a fresh observation; above {@link #GOOD_COST}. */
    private static final double UNOBSERVED_COST = 1.5;
    /** Exclusive upper bound of the cost that breaks ties, so that nodes prefer different upstreams. */
    private static final double MAX_TIE_BREAK_COST = 0.04;

    private static final int TIE_BREAK_BITS = 32;
    private static final int TIE_BREAK_SHIFT = Long.SIZE - TIE_BREAK_BITS;

    private final AvailabilityZoneId localZone;
    private final Ownership ownership;
    private final BalancingRules rules;
    private final ConfigurationHolder configuration;
    private final long tieBreakSeed;
    private ZoneShares zoneShares = ZoneShares.none();

    UpstreamSelector(
            AvailabilityZoneId localZone,
            Ownership ownership,
            BalancingRules rules,
            ConfigurationHolder configuration,
            RandomGenerator random) {
        this.localZone = localZone;
        this.ownership = ownership;
        this.rules = rules;
        this.configuration = configuration;
        this.tieBreakSeed = random.nextLong();
    }

    void shareZones(ZoneShares shares) {
        zoneShares = shares;
    }

    /**
     * State on which a choice depends beside the request and the upstreams.
     *
     * @param evacuatedZones zones whose upstreams get no requests
     * @param utilization share of the slots of the service in use; 0 if the priority's limit does not depend on it
     * @param meanSlowdown moving average over all upstreams; 1 is normal
     * @param typicalLatencyNanos latency of the route on an idle upstream; 0 while unknown
     * @param nowNanos monotonic time of the choice
     */
    record SelectionContext(
            Set<AvailabilityZoneId> evacuatedZones,
            double utilization,
            double meanSlowdown,
            long typicalLatencyNanos,
            long nowNanos) {}

    /** Returns the share of a service's slots in use, over upstreams with a fresh observation that take requests. */
    static double utilization(ServiceUpstreams service, Set<AvailabilityZoneId> evacuatedZones, long now) {
        return slots(service, evacuatedZones, now).utilization();
    }

    /** Returns a service's slots, over upstreams with a fresh observation that take requests. */
    static ServiceSlots slots(ServiceUpstreams service, Set<AvailabilityZoneId> evacuatedZones, long now) {
        SlotCount count = new SlotCount();
        service.local().forEach(upstream -> count.add(upstream, evacuatedZones, now));
        service.remote().forEach(upstream -> count.add(upstream, evacuatedZones, now));
        return new ServiceSlots(count.slots, count.busySlots);
    }

    /** Returns the time until the next known end of a backoff or pause; {@link Long#MAX_VALUE} if none is known. */
    static long untilNextReturnNanos(ServiceUpstreams service, long now) {
        return Math.min(untilNextReturnNanos(service.local(), now), untilNextReturnNanos(service.remote(), now));
    }

    private static long untilNextReturnNanos(List<TrackedUpstream> upstreams, long now) {
        long shortestNanos = Long.MAX_VALUE;
        for (TrackedUpstream upstream : upstreams) {
            long untilNanos = Math.max(
                    upstream.remainingBackoffNanos(now), upstream.serving().untilNextAdmissionNanos(now));
            if (untilNanos > 0 && !upstream.serving().isLeaving()) {
                shortestNanos = Math.min(shortestNanos, untilNanos);
            }
        }
        return shortestNanos;
    }

    /**
     * Returns the time until an upstream of a service may take a request, as far as the upstreams themselves said:
     * 0 if one may now, {@link Long#MAX_VALUE} if all are leaving, evacuated or excluded.
     */
    static long untilAdmissionNanos(ServiceUpstreams service, SelectionCriteria criteria, SelectionContext context) {
        return Math.min(
                untilAdmissionNanos(service.local(), criteria, context),
                untilAdmissionNanos(service.remote(), criteria, context));
    }

    private static long untilAdmissionNanos(
            List<TrackedUpstream> upstreams, SelectionCriteria criteria, SelectionContext context) {
        long shortestNanos = Long.MAX_VALUE;
        for (TrackedUpstream upstream : upstreams) {
            Registration registration = upstream.registration();
            if (takesRequests(registration, context.evacuatedZones())
                    && !upstream.serving().isLeaving()
                    && !criteria.excluded().contains(registration.id())) {
                shortestNanos = Math.min(shortestNanos, upstream.serving().remainingPauseNanos(context.nowNanos()));
            }
        }
        return shortestNanos;
    }

    /** Counts the registered and the usable upstreams of a service, whatever their cost. */
    ServiceCapacity capacity(ServiceUpstreams service, SelectionCriteria criteria, SelectionContext context) {
        return new ServiceCapacity(
                service.local().size() + service.remote().size(),
                countUsable(service.local(), criteria, context) + countUsable(service.remote(), criteria, context),
                utilization(service, context.evacuatedZones(), context.nowNanos()));
    }

    private int countUsable(List<TrackedUpstream> upstreams, SelectionCriteria criteria, SelectionContext context) {
        int usable = 0;
        for (TrackedUpstream upstream : upstreams) {
            usable += isUsable(upstream, criteria, context) ? 1 : 0;
        }
        return usable;
    }

    /** Sum of the slots of upstreams, and of those in use. */
    private static final class SlotCount {
        private int slots;
        private int busySlots;

        void add(TrackedUpstream upstream, Set<AvailabilityZoneId> evacuatedZones, long now) {
            Registration registration = upstream.registration();
            if (takesRequests(registration, evacuatedZones)
                    && upstream.serving().takesRequests(now)
                    && isFresh(upstream, now)
                    && upstream.observation().reachable()) {
                busySlots += Math.min(upstream.load(now), registration.slots());
                slots += registration.slots();
            }
        }
    }

    /** An upstream and its predicted cost. */
    record UpstreamCandidate(TrackedUpstream upstream, double cost) {
        /** Returns whether this one is cheaper, or as cheap and observed later, so that it needs no probe. */
        boolean precedes(UpstreamCandidate other) {
            return cost < other.cost || cost == other.cost && observedNanos() - other.observedNanos() > 0;
        }

        private long observedNanos() {
            return upstream.observation() == null
                    ? Long.MIN_VALUE / 2
                    : upstream.observation().atNanos();
        }

        /** Creates the placement of an attempt that starts at the upstream now. */
        Placement placement(RouteId route, SelectionContext context) {
            long now = context.nowNanos();
            return new Placement(
                    upstream.registration().id(),
                    route,
                    upstream.registration().address(),
                    now,
                    cost,
                    relativeDuration(upstream, context),
                    upstream.observation().slowdownPercent(),
                    upstream.load(now),
                    now - upstream.observation().atNanos(),
                    upstream.isCold(now));
        }
    }

    /** Returns the predicted duration of a request at an upstream as a multiple of the typical latency. */
    private static double relativeDuration(TrackedUpstream upstream, SelectionContext context) {
        return UpstreamCost.relativeDuration(upstream, context.meanSlowdown(), context.nowNanos());
    }

    /** Returns the usable upstream of lowest cost; empty when none costs less than the maximum of the criteria. */
    Optional<UpstreamCandidate> choose(ServiceUpstreams service, SelectionCriteria criteria, SelectionContext context) {
        ZonePreference preference = preference(criteria);
        if (preference.remoteZone().isPresent()) {
            List<TrackedUpstream> preferred =
                    service.remote(preference.remoteZone().get());
            Optional<UpstreamCandidate> remote = cheapest(preferred, criteria, context, criteria.maxCost());
            if (remote.isPresent() && remote.get().cost() <= GOOD_REMOTE_COST) {
                return remote;
            }
        }
        Optional<UpstreamCandidate> local = cheapest(service.local(), criteria, context, criteria.maxCost());
        if (local.isPresent() && local.get().cost() <= (preference.isStay() ? MAX_STAY_COST : GOOD_COST)) {
            return local;
        }
        double maxCost = local.map(UpstreamCandidate::cost).orElse(criteria.maxCost());
        return cheapest(service.remote(), criteria, context, maxCost).or(() -> local);
    }

    private ZonePreference preference(SelectionCriteria criteria) {
        return zoneShares.preference(criteria.service(), criteria.route(), criteria.zoneDraw());
    }

    private Optional<UpstreamCandidate> cheapest(
            List<TrackedUpstream> upstreams, SelectionCriteria criteria, SelectionContext context, double maxCost) {
        UpstreamCandidate best = null;
        for (TrackedUpstream upstream : upstreams) {
            if (isUsable(upstream, criteria, context)) {
                UpstreamCandidate candidate = new UpstreamCandidate(upstream, cost(upstream, context));
                if (candidate.cost() < maxCost && (best == null || candidate.precedes(best))) {
                    best = candidate;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Lists the cheapest candidates, without those that were observed within the last few milliseconds. Returns none if
     * the cheapest upstream was, and its cost is good. An upstream without a fresh observation is a candidate too, and
     * assumed to be nearly normal, so that a node that has just started finds the upstreams of other zones.
     */
    List<TrackedUpstream> candidatesToProbe(
            ServiceUpstreams service, SelectionCriteria criteria, SelectionContext context) {
        Optional<AvailabilityZoneId> remoteZone = preference(criteria).remoteZone();
        List<UpstreamCandidate> ranked = bestCandidates(service, remoteZone, criteria, context);
        if (!ranked.isEmpty()
                && ranked.get(0).cost() <= (remoteZone.isPresent() ? GOOD_REMOTE_COST : GOOD_COST)
                && isJustObserved(ranked.get(0).upstream(), context.nowNanos())) {
            return List.of();
        }
        return ranked.stream()
                .map(UpstreamCandidate::upstream)
                .filter(upstream -> !isJustObserved(upstream, context.nowNanos()))
                .toList();
    }

    /** Lists up to {@link #MAX_PROBED_CANDIDATES} upstreams in ascending order of cost, without sorting all of them. */
    private List<UpstreamCandidate> bestCandidates(
            ServiceUpstreams service,
            Optional<AvailabilityZoneId> remoteZone,
            SelectionCriteria criteria,
            SelectionContext context) {
        List<UpstreamCandidate> ranked = new ArrayList<>(MAX_PROBED_CANDIDATES + 1);
        if (remoteZone.isPresent()) {
            rank(service.remote(remoteZone.get()), criteria, context, ranked);
            if (!ranked.isEmpty()) {
                return withLocal(ranked, service.local(), criteria, context);
            }
        }
        rank(service.local(), criteria, context, ranked);
        boolean isLocalSufficient = ranked.size() == MAX_PROBED_CANDIDATES
                && ranked.get(MAX_PROBED_CANDIDATES - 1).cost() <= GOOD_COST;
        if (!isLocalSufficient) {
            rank(service.remote(), criteria, context, ranked);
        }
        return ranked;
    }

    /** Replaces the last candidate by the best local one, unless the first is known to be good. */
    private List<UpstreamCandidate> withLocal(
            List<UpstreamCandidate> ranked,
            List<TrackedUpstream> local,
            SelectionCriteria criteria,
            SelectionContext context) {
        UpstreamCandidate best = ranked.get(0);
        if (best.cost() > GOOD_REMOTE_COST || !isFresh(best.upstream(), context.nowNanos())) {
            List<UpstreamCandidate> rankedLocal = new ArrayList<>(MAX_PROBED_CANDIDATES + 1);
            rank(local, criteria, context, rankedLocal);
            if (!rankedLocal.isEmpty()) {
                ranked.add(Math.min(ranked.size(), MAX_PROBED_CANDIDATES - 1), rankedLocal.get(0));
            }
        }
        return ranked.subList(0, Math.min(ranked.size(), MAX_PROBED_CANDIDATES));
    }

    private void rank(
            List<TrackedUpstream> upstreams,
            SelectionCriteria criteria,
            SelectionContext context,
            List<UpstreamCandidate> ranked) {
        for (TrackedUpstream upstream : upstreams) {
            if (isUsable(upstream, criteria, context) || isUnobservedCandidate(upstream, criteria, context)) {
                UpstreamCandidate candidate = new UpstreamCandidate(upstream, rankingCost(upstream, context));
                int position = ranked.size();
                while (position > 0 && candidate.precedes(ranked.get(position - 1))) {
                    position--;
                }
                ranked.add(position, candidate);
                if (ranked.size() > MAX_PROBED_CANDIDATES) {
                    ranked.remove(MAX_PROBED_CANDIDATES);
                }
            }
        }
    }

    private static boolean isJustObserved(TrackedUpstream upstream, long now) {
        return upstream.observation() != null && now - upstream.observation().atNanos() <= JUST_OBSERVED_NANOS;
    }

    private double cost(TrackedUpstream upstream, SelectionContext context) {
        return UpstreamCost.predict(upstream, context.meanSlowdown(), context.typicalLatencyNanos(), context.nowNanos())
                + localityCost(upstream);
    }

    /** Returns the cost that ranks an upstream for a probe; above {@link #GOOD_COST} without a fresh observation. */
    private double rankingCost(TrackedUpstream upstream, SelectionContext context) {
        double cost = cost(upstream, context);
        return isFresh(upstream, context.nowNanos()) ? cost : Math.max(cost, UNOBSERVED_COST);
    }

    /** Returns whether an upstream can take the request now, whatever its cost. */
    private boolean isUsable(TrackedUpstream upstream, SelectionCriteria criteria, SelectionContext context) {
        long now = context.nowNanos();
        if (!isCandidate(upstream, criteria, context)
                || !isFresh(upstream, now)
                || !upstream.observation().reachable()) {
            return false;
        }
        Registration registration = upstream.registration();
        if (upstream.isCold(now)) {
            return ownership.owns(registration)
                    && upstream.load(now) < registration.slots()
                    && upstream.coldRateLimiter().isAllowed(coldLimitPerSecond(registration.service()), now);
        }
        if (UpstreamCost.slowdown(upstream, context.meanSlowdown(), now) > criteria.maxSlowdown()) {
            return false;
        }
        return upstream.load(now)
                < ConcurrencyLimit.limit(registration.slots(), criteria.priority(), context.utilization());
    }

    /** Returns whether a probe may show that an upstream without a fresh observation is usable. */
    private static boolean isUnobservedCandidate(
            TrackedUpstream upstream, SelectionCriteria criteria, SelectionContext context) {
        return isCandidate(upstream, criteria, context) && !isFresh(upstream, context.nowNanos());
    }

    /** Returns whether an upstream may get the request if its observation permits. */
    private static boolean isCandidate(TrackedUpstream upstream, SelectionCriteria criteria, SelectionContext context) {
        Registration registration = upstream.registration();
        return takesRequests(registration, context.evacuatedZones())
                && !criteria.excluded().contains(registration.id())
                && !upstream.isInBackoff(context.nowNanos())
                && upstream.serving().admits(upstream.localInFlight(), context.nowNanos());
    }

    private static boolean takesRequests(Registration registration, Set<AvailabilityZoneId> evacuatedZones) {
        return !registration.draining() && !evacuatedZones.contains(registration.availabilityZone());
    }

    /** Returns whether an upstream has an observation of the last few seconds. */
    static boolean isFresh(TrackedUpstream upstream, long now) {
        return upstream.observation() != null && now - upstream.observation().atNanos() <= OBSERVATION_TTL_NANOS;
    }

    private int coldLimitPerSecond(ServiceId service) {
        double sustainablePerSecond = configuration
                .current()
                .flatMap(current -> current.service(service))
                .map(ServiceSpec::warmupPerSecond)
                .orElse(1.0);
        return sustainablePerSecond <= 0
                ? Integer.MAX_VALUE
                : ColdRateLimiter.limitPerSecond(sustainablePerSecond, rules);
    }

    boolean isLocal(Registration registration) {
        return registration.availabilityZone().equals(localZone);
    }

    boolean owns(Registration registration) {
        return ownership.owns(registration);
    }

    /**
     * Returns the cost added for the zone and the owner of an upstream, and a part that breaks ties. That part differs
     * between nodes, so that they prefer different upstreams, and stays the same on a node, so that it uses its
     * connections again.
     */
    private double localityCost(TrackedUpstream upstream) {
        Registration registration = upstream.registration();
        if (!isLocal(registration)) {
            return OTHER_ZONE_COST + tieBreak(upstream);
        }
        return owns(registration) ? 0 : NOT_OWNED_COST + tieBreak(upstream);
    }

    /** Returns a small cost of an upstream that differs between nodes and stays the same on a node. */
    double tieBreak(TrackedUpstream upstream) {
        return MAX_TIE_BREAK_COST
                * (StableHash.combine(tieBreakSeed, upstream.hash()) >>> TIE_BREAK_SHIFT)
                / (1L << TIE_BREAK_BITS);
    }
}
