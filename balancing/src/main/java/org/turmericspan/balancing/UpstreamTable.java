package org.turmericspan.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.turmericspan.balancing.UpstreamSelection.Choice;
import org.turmericspan.balancing.UpstreamSelection.Circumstances;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Registered upstreams, what is believed of each, and the choice among them. */
public final class UpstreamTable {
    /** Weight of a new observation in the mean slowness. */
    private static final double MEAN_WEIGHT = 0.02;

    /** Share of failures from which on other nodes are told of it, also without a fresh observation. */
    private static final double TOLD_FAIL_SHARE = 0.05;

    private static final double PERCENT = 100.0;

    private final RankedLock lock = new RankedLock(LockRank.SLOTS);
    private final Map<UpstreamId, UpstreamState> states = new HashMap<>();
    private final Map<Long, UpstreamId> byHash = new HashMap<>();
    private final TypicalLatencies latencies = new TypicalLatencies();
    private final UpstreamSelection selection;
    private final MonotonicClock clock;
    private Set<AvailabilityZoneId> evacuated = Set.of();
    private double meanSlowness = 1;

    /**
     * Creates an empty table.
     *
     * @param home availability zone of this node
     * @param ownership tells which upstreams this node owns; called under the table's lock, must take none itself
     * @param rules agreed bounds
     * @param configuration names the services
     * @param clock monotonic time
     * @param random breaks ties
     */
    public UpstreamTable(
            AvailabilityZoneId home,
            Ownership ownership,
            BalancingRules rules,
            ConfigurationHolder configuration,
            MonotonicClock clock,
            RandomGenerator random) {
        this.selection = new UpstreamSelection(home, ownership, rules, configuration, random);
        this.clock = clock;
    }

    /**
     * Takes what an upstream published.
     *
     * @param registration the newest registration
     * @return whether it is new or changed in more than its warm-up time
     */
    public boolean register(Registration registration) {
        return lock.compute(() -> {
            UpstreamState state = states.get(registration.id());
            if (state == null) {
                UpstreamState added = new UpstreamState(registration);
                states.put(registration.id(), added);
                byHash.put(added.hash(), registration.id());
                return true;
            }
            Registration old = state.registration();
            state.register(registration);
            return !registration.equalsIgnoringWarmUp(old);
        });
    }

    /**
     * Forgets an upstream that is gone.
     *
     * @param id the upstream
     * @return whether it was known
     */
    public boolean remove(UpstreamId id) {
        return lock.compute(() -> {
            UpstreamState removed = states.remove(id);
            if (removed != null) {
                byHash.remove(removed.hash());
            }
            return removed != null;
        });
    }

    /**
     * Looks an upstream up.
     *
     * @param id the upstream
     * @return its registration; empty when it is gone
     */
    public Optional<Registration> registration(UpstreamId id) {
        return lock.compute(() -> Optional.ofNullable(states.get(id)).map(UpstreamState::registration));
    }

    /**
     * Counts the registered upstreams.
     *
     * @return the count
     */
    public int size() {
        return lock.compute(states::size);
    }

    /**
     * Sets the zones whose upstreams get nothing.
     *
     * @param zones evacuated availability zones
     * @return whether the set changed
     */
    public boolean setEvacuated(Set<AvailabilityZoneId> zones) {
        return lock.compute(() -> {
            boolean changed = !evacuated.equals(zones);
            evacuated = Set.copyOf(zones);
            return changed;
        });
    }

    /**
     * Takes an observation of an upstream.
     *
     * @param id the upstream
     * @param observation what it showed
     */
    public void observe(UpstreamId id, Observation observation) {
        lock.run(() -> observeOwn(states.get(id), observation));
    }

    private void observeOwn(UpstreamState state, Observation observation) {
        if (state != null) {
            state.ownObserved(observation.atNanos());
            observeLocked(state, observation);
        }
    }

    private void observeLocked(UpstreamState state, Observation observation) {
        if (state != null && state.observe(observation) && observation.reachable()) {
            meanSlowness += MEAN_WEIGHT * (observation.slowdownPercent() / PERCENT - meanSlowness);
        }
    }

    /**
     * Takes the load figures that came with an answer. They say nothing of warmth or health, which stay as they were.
     *
     * @param id the upstream
     * @param report its load at this moment
     */
    public void observeLoad(UpstreamId id, LoadReport report) {
        long now = clock.nowNanos();
        lock.run(() -> {
            UpstreamState state = states.get(id);
            if (state != null
                    && state.observation() != null
                    && state.observation().reachable()) {
                observeOwn(state, state.withLoad(report, now));
            }
        });
    }

    /**
     * Notes that an upstream could be reached, or could not.
     *
     * @param id the upstream
     * @param reached whether a connection succeeded
     */
    public void recordReachability(UpstreamId id, boolean reached) {
        lock.run(() -> {
            UpstreamState state = states.get(id);
            if (state != null && reached) {
                state.reached();
            } else if (state != null) {
                state.rest(clock.nowNanos());
            }
        });
    }

    /**
     * Takes what another node reports.
     *
     * @param peer the node
     * @param reports one for each upstream that it speaks of
     */
    public void applyPeerReports(String peer, Collection<PeerReport> reports) {
        lock.run(() -> reports.forEach(report -> acceptReport(peer, report)));
    }

    private void acceptReport(String peer, PeerReport report) {
        UpstreamId id = byHash.get(report.upstreamHash());
        if (id == null) {
            return;
        }
        UpstreamState state = states.get(id);
        observeLocked(state, report.observation());
        state.peerReported(peer, report.inFlight(), report.failurePercent(), clock.nowNanos());
    }

    /**
     * Lists what this node knows, for other nodes.
     *
     * @param filter chooses the upstreams to speak of
     * @return one report for each upstream with a fresh observation
     */
    public List<PeerReport> reports(Predicate<Registration> filter) {
        return reportsOf((state, now) -> filter.test(state.registration()));
    }

    /**
     * Lists what this node found out itself, for nodes that hear from the others directly.
     *
     * @param maxAgeNanos age up to which its observations count
     * @return one report for each upstream that it observed lately, or at which its requests run or failed
     */
    public List<PeerReport> localReports(long maxAgeNanos) {
        return reportsOf((state, now) -> now - state.ownObservedNanos() <= maxAgeNanos
                || state.ownInFlight() > 0
                || state.ownFailShare(now) >= TOLD_FAIL_SHARE);
    }

    private List<PeerReport> reportsOf(BiPredicate<UpstreamState, Long> filter) {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            List<PeerReport> reports = new ArrayList<>();
            for (UpstreamState state : states.values()) {
                if (UpstreamSelection.isFresh(state, now) && filter.test(state, now)) {
                    reports.add(new PeerReport(state.hash(), state.observation(), state.ownInFlight(), (int)
                            (PERCENT * state.ownFailShare(now))));
                }
            }
            return reports;
        });
    }

    /**
     * Lists the upstreams that this node is to probe.
     *
     * @param starting whether this node has not joined yet and looks at its own zone, whoever owns what
     * @return registrations, draining ones left out
     */
    public List<Registration> probeTargets(boolean starting) {
        return lock.compute(() -> states.values().stream()
                .map(UpstreamState::registration)
                .filter(registration -> !registration.draining())
                .filter(registration -> starting ? selection.isHome(registration) : selection.owns(registration))
                .toList());
    }

    /**
     * Tells whether most upstreams of this node's zone were observed lately.
     *
     * @return true also when none is registered
     */
    public boolean hasRecentObservations() {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            List<UpstreamState> near = states.values().stream()
                    .filter(state -> selection.isHome(state.registration()))
                    .toList();
            long fresh = near.stream()
                    .filter(state -> UpstreamSelection.isFresh(state, now))
                    .count();
            return 2 * fresh >= near.size();
        });
    }

    /**
     * Chooses the upstream of lowest predicted cost and counts the attempt there.
     *
     * @param criteria what the choice must respect
     * @return the place; empty when no upstream can take the request now
     */
    public Optional<Placement> choose(SelectionCriteria criteria) {
        long now = clock.nowNanos();
        return lock.compute(() -> {
            Circumstances circumstances = circumstances(criteria, now);
            return selection
                    .choose(states.values(), criteria, circumstances)
                    .map(choice -> place(choice, criteria.route(), circumstances));
        });
    }

    /**
     * Tells what a service has to offer a request, whatever its cost.
     *
     * @param criteria what is needed
     * @return the counts of this moment
     */
    public ServiceCapacity capacity(SelectionCriteria criteria) {
        long now = clock.nowNanos();
        return lock.compute(() -> selection.room(states.values(), criteria, circumstances(criteria, now)));
    }

    private Circumstances circumstances(SelectionCriteria criteria, long now) {
        double busyShare = RoomRule.dependsOnBusyShare(criteria.priority())
                ? UpstreamSelection.busyShare(states.values(), criteria.service(), evacuated, now)
                : 0;
        return new Circumstances(evacuated, busyShare, meanSlowness, latencies.nanos(criteria.route()), now);
    }

    /**
     * Lists the upstreams whose load is worth asking for before {@link #choose}.
     *
     * @param criteria what the choice must respect
     * @return the best candidates of which nothing fresh is known; empty when the choice is good as it stands
     */
    public List<Registration> candidatesToProbe(SelectionCriteria criteria) {
        long now = clock.nowNanos();
        return lock.compute(
                () -> selection.worthAsking(states.values(), criteria, circumstances(criteria, now)).stream()
                        .map(UpstreamState::registration)
                        .toList());
    }

    private Placement place(Choice choice, RouteId route, Circumstances circumstances) {
        Placement placement = choice.placement(route, circumstances);
        choice.state().started(placement.startedNanos());
        if (placement.cold()) {
            choice.state().coldPace().record(placement.startedNanos());
        }
        return placement;
    }

    /**
     * Ends an attempt.
     *
     * @param placement its place
     * @param result how it ended
     */
    public void finish(Placement placement, AttemptResult result) {
        long now = clock.nowNanos();
        lock.run(() -> {
            UpstreamState state = states.get(placement.upstream());
            if (state != null) {
                state.finished(placement.startedNanos(), result, now);
            }
            if (result == AttemptResult.SUCCESS) {
                latencies.learn(placement, now);
            }
        });
    }

    /**
     * Returns how long a request of a route typically takes on an idle upstream.
     *
     * @param route the route
     * @return nanoseconds; 0 when nothing is known
     */
    public long typicalLatencyNanos(RouteId route) {
        return lock.compute(() -> latencies.nanos(route));
    }

    /**
     * Returns how slow an upstream was last seen.
     *
     * @param id the upstream
     * @return percent, 100 as usual; 100 when nothing is known
     */
    public int slowdownPercent(UpstreamId id) {
        return lock.compute(() -> {
            UpstreamState state = states.get(id);
            return state == null || state.observation() == null
                    ? LoadReport.NORMAL.slowdownPercent()
                    : state.observation().slowdownPercent();
        });
    }

    /**
     * Describes all upstreams.
     *
     * @return one line each
     */
    public List<String> describe() {
        long now = clock.nowNanos();
        return lock.compute(() -> states.values().stream()
                .map(state -> state.describe(now) + " owned=" + selection.owns(state.registration()))
                .sorted()
                .toList());
    }
}
