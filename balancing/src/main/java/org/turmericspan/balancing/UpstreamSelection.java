package org.turmericspan.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;

/** Chooses among upstreams from what is believed of each. The table's lock guards what it reads. */
final class UpstreamSelection {
    /** Age at which an observation no longer shows that an upstream is warm. */
    private static final long OBSERVATION_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Cost of an upstream of the zone that another node owns, so that nodes rarely meet at one. */
    private static final double NOT_OWNED_COST = 0.08;
    /** Cost of an upstream in another zone: the longer way and the price of its bytes. */
    private static final double OTHER_ZONE_COST = 0.3;
    /** Candidates asked for their load before a choice; three are rarely all slowed down by their neighbours. */
    private static final int ASKED_CANDIDATES = 3;
    /** Age up to which an observation need not be renewed; work changes its speed every few hundred milliseconds. */
    private static final long JUST_OBSERVED_NANOS = TimeUnit.MILLISECONDS.toNanos(12);
    /** Cost up to which an upstream is taken without asking others: at its usual speed, and not crowded. */
    private static final double GOOD_COST = 1.25;
    /** Least cost presumed of an upstream that nobody observed lately; above that of a good one. */
    private static final double UNKNOWN_COST = 1.5;
    /** Range of a random cost that breaks ties among nodes. */
    private static final double TIE_COST = 0.04;

    private final AvailabilityZoneId home;
    private final Ownership ownership;
    private final BalancingRules rules;
    private final ConfigurationHolder configuration;
    private final RandomGenerator random;

    UpstreamSelection(
            AvailabilityZoneId home,
            Ownership ownership,
            BalancingRules rules,
            ConfigurationHolder configuration,
            RandomGenerator random) {
        this.home = home;
        this.ownership = ownership;
        this.rules = rules;
        this.configuration = configuration;
        this.random = random;
    }

    /** What a choice depends on beside the request and the single upstream; the busy share only where room does. */
    record Circumstances(
            Set<AvailabilityZoneId> evacuated,
            double busyShare,
            double meanSlowness,
            long typicalNanos,
            long nowNanos) {}

    /** Returns the share of a service's slots in use, of the upstreams that take requests and were observed lately. */
    static double busyShare(
            Collection<UpstreamState> states, ServiceId service, Set<AvailabilityZoneId> evacuated, long now) {
        int busy = 0;
        int slots = 0;
        for (UpstreamState state : states) {
            Registration registration = state.registration();
            if (registration.service().equals(service)
                    && takesRequests(registration, evacuated)
                    && isFresh(state, now)
                    && state.observation().reachable()) {
                busy += Math.min(state.load(now), registration.slots());
                slots += registration.slots();
            }
        }
        return slots == 0 ? 0 : (double) busy / slots;
    }

    /** Counts what a service has to offer a request. */
    ServiceCapacity room(Collection<UpstreamState> states, SelectionCriteria criteria, Circumstances circumstances) {
        int registered = 0;
        int usable = 0;
        for (UpstreamState state : states) {
            registered += state.registration().service().equals(criteria.service()) ? 1 : 0;
            usable += isUsable(state, criteria, circumstances) ? 1 : 0;
        }
        double busyShare = busyShare(states, criteria.service(), circumstances.evacuated(), circumstances.nowNanos());
        return new ServiceCapacity(registered, usable, busyShare);
    }

    /** An upstream and its predicted cost. */
    record Choice(UpstreamState state, double cost) {
        /** Describes the place of a request that starts there now. */
        Placement placement(RouteId route, Circumstances circumstances) {
            long now = circumstances.nowNanos();
            return new Placement(
                    state.registration().id(),
                    route,
                    state.registration().address(),
                    now,
                    cost,
                    duration(state, circumstances),
                    state.observation().slowdownPercent(),
                    state.load(now),
                    now - state.observation().atNanos(),
                    state.isCold(now));
        }
    }

    /** Returns how long a request is predicted to take at an upstream, in units of the typical latency. */
    private static double duration(UpstreamState state, Circumstances circumstances) {
        return UpstreamCost.duration(state, circumstances.meanSlowness(), circumstances.nowNanos());
    }

    Optional<Choice> choose(Collection<UpstreamState> states, SelectionCriteria criteria, Circumstances circumstances) {
        UpstreamState best = null;
        double bestCost = criteria.maxCost();
        for (UpstreamState state : states) {
            if (!isUsable(state, criteria, circumstances)) {
                continue;
            }
            double cost = cost(state, circumstances);
            if (cost < bestCost) {
                best = state;
                bestCost = cost;
            }
        }
        return best == null ? Optional.empty() : Optional.of(new Choice(best, bestCost));
    }

    /**
     * Lists the best candidates whose load is not fresh, unless the best of all is fresh and nearly free. Upstreams
     * that nobody observed lately count as usual ones, so that a node that has just started finds those of other zones.
     */
    List<UpstreamState> worthAsking(
            Collection<UpstreamState> states, SelectionCriteria criteria, Circumstances circumstances) {
        List<Choice> ranked = best(states, criteria, circumstances);
        if (!ranked.isEmpty()
                && ranked.get(0).cost() <= GOOD_COST
                && isJustObserved(ranked.get(0).state(), circumstances.nowNanos())) {
            return List.of();
        }
        return ranked.stream()
                .map(Choice::state)
                .filter(state -> !isJustObserved(state, circumstances.nowNanos()))
                .toList();
    }

    /** Ranks the few best candidates, the best first, without sorting all of them. */
    private List<Choice> best(
            Collection<UpstreamState> states, SelectionCriteria criteria, Circumstances circumstances) {
        List<Choice> ranked = new ArrayList<>(ASKED_CANDIDATES + 1);
        for (UpstreamState state : states) {
            if (isUsable(state, criteria, circumstances) || isUnknown(state, criteria, circumstances)) {
                double cost = presumedCost(state, circumstances);
                int place = ranked.size();
                while (place > 0 && ranked.get(place - 1).cost() > cost) {
                    place--;
                }
                ranked.add(place, new Choice(state, cost));
                if (ranked.size() > ASKED_CANDIDATES) {
                    ranked.remove(ASKED_CANDIDATES);
                }
            }
        }
        return ranked;
    }

    private static boolean isJustObserved(UpstreamState state, long now) {
        return state.observation() != null && now - state.observation().atNanos() <= JUST_OBSERVED_NANOS;
    }

    private double cost(UpstreamState state, Circumstances circumstances) {
        return UpstreamCost.of(
                        state, circumstances.meanSlowness(), circumstances.typicalNanos(), circumstances.nowNanos())
                + distance(state.registration());
    }

    /** Returns the cost at which an upstream is worth asking; one that nobody observed lately is never the best. */
    private double presumedCost(UpstreamState state, Circumstances circumstances) {
        double cost = cost(state, circumstances);
        return isFresh(state, circumstances.nowNanos()) ? cost : Math.max(cost, UNKNOWN_COST);
    }

    private boolean isUsable(UpstreamState state, SelectionCriteria criteria, Circumstances circumstances) {
        long now = circumstances.nowNanos();
        if (!isCandidate(state, criteria, circumstances)
                || !isFresh(state, now)
                || !state.observation().reachable()) {
            return false;
        }
        Registration registration = state.registration();
        if (state.isCold(now)) {
            return ownership.owns(registration)
                    && state.load(now) < registration.slots()
                    && state.coldPace().allows(coldPerSecond(registration.service()), now);
        }
        if (UpstreamCost.slowness(state, circumstances.meanSlowness(), now) > criteria.maxSlowdown()) {
            return false;
        }
        return state.load(now) < RoomRule.limit(registration.slots(), criteria.priority(), circumstances.busyShare());
    }

    /** Tells whether an upstream may turn out usable when it is asked. */
    private static boolean isUnknown(UpstreamState state, SelectionCriteria criteria, Circumstances circumstances) {
        return isCandidate(state, criteria, circumstances) && !isFresh(state, circumstances.nowNanos());
    }

    private static boolean isCandidate(UpstreamState state, SelectionCriteria criteria, Circumstances circumstances) {
        Registration registration = state.registration();
        return registration.service().equals(criteria.service())
                && takesRequests(registration, circumstances.evacuated())
                && !criteria.excluded().contains(registration.id())
                && !state.rests(circumstances.nowNanos());
    }

    private static boolean takesRequests(Registration registration, Set<AvailabilityZoneId> evacuated) {
        return !registration.draining() && !evacuated.contains(registration.availabilityZone());
    }

    static boolean isFresh(UpstreamState state, long now) {
        return state.observation() != null && now - state.observation().atNanos() <= OBSERVATION_LIFE_NANOS;
    }

    private int coldPerSecond(ServiceId service) {
        double bearable = configuration
                .current()
                .flatMap(current -> current.service(service))
                .map(ServiceSpec::warmupPerSecond)
                .orElse(1.0);
        return bearable <= 0 ? Integer.MAX_VALUE : ColdPace.perSecond(bearable, rules);
    }

    boolean isHome(Registration registration) {
        return registration.availabilityZone().equals(home);
    }

    boolean owns(Registration registration) {
        return ownership.owns(registration);
    }

    private double distance(Registration registration) {
        double tie = random.nextDouble() * TIE_COST;
        if (!isHome(registration)) {
            return OTHER_ZONE_COST + tie;
        }
        return owns(registration) ? 0 : NOT_OWNED_COST + tie;
    }
}
