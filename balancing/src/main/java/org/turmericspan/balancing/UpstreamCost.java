package org.turmericspan.balancing;

import java.util.concurrent.TimeUnit;

/**
 * Predicts how long a request takes at an upstream, in units of a request on an idle upstream at its usual speed. Lower
 * is better.
 */
final class UpstreamCost {
    /** Time over which an observed speed loses its meaning; speeds change many times a second. */
    private static final double SPEED_MEMORY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Factor on the work of a request that makes an upstream nearly full. */
    private static final double NEARLY_FULL_FACTOR = 1.6;
    /** Cost of each request already there, which keeps equal upstreams evenly loaded. */
    private static final double NEIGHBOUR_COST = 0.04;
    /** Factor for a cold upstream, which works slowly. */
    private static final double COLD_FACTOR = 2.5;
    /** Weight of failures: an upstream that fails a tenth of its requests costs twice as much. */
    private static final double FAILURE_WEIGHT = 10;
    /** Factor for an upstream whose health check fails though it answers. */
    private static final double UNHEALTHY_FACTOR = 3;
    /** Factor for an upstream at which a request of this node is overdue. */
    private static final double OVERDUE_FACTOR = 2;

    private static final double PERCENT = 100.0;

    private UpstreamCost() {}

    static double of(UpstreamState state, double meanSlowness, long typicalNanos, long nowNanos) {
        double cost = duration(state, meanSlowness, nowNanos) * (1 + FAILURE_WEIGHT * state.failShare(nowNanos));
        if (state.observation() != null && !state.observation().healthy()) {
            cost *= UNHEALTHY_FACTOR;
        }
        if (typicalNanos > 0 && state.oldestOwnAgeNanos(nowNanos) > OVERDUE_FACTOR * typicalNanos * meanSlowness) {
            cost *= OVERDUE_FACTOR;
        }
        return cost;
    }

    /** Predicts the duration alone, without what else speaks against an upstream. */
    static double duration(UpstreamState state, double meanSlowness, long nowNanos) {
        int slots = Math.max(1, state.registration().slots());
        double duration = slowness(state, meanSlowness, nowNanos) * crowding(state.load(nowNanos), slots);
        return state.isCold(nowNanos) ? duration * COLD_FACTOR : duration;
    }

    /** Moves an observed speed towards the mean as the observation ages. */
    static double slowness(UpstreamState state, double meanSlowness, long nowNanos) {
        Observation observation = state.observation();
        if (observation == null) {
            return meanSlowness;
        }
        double weight = Math.exp(-(nowNanos - observation.atNanos()) / SPEED_MEMORY_NANOS);
        return weight * observation.slowdownPercent() / PERCENT + (1 - weight) * meanSlowness;
    }

    private static double crowding(int load, int slots) {
        if (load >= slots) {
            return NEARLY_FULL_FACTOR * (1 + (load - slots + 1.0) / slots);
        }
        double factor = load + 1 > RoomRule.NEARLY_FULL * slots && slots > 1 ? NEARLY_FULL_FACTOR : 1;
        return factor + NEIGHBOUR_COST * load;
    }
}
