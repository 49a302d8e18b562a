package org.turmericspan.balancing;

import java.util.concurrent.TimeUnit;

/**
 * Predicts the cost of a request at an upstream, in units of the duration on an idle upstream with normal service time.
 * Lower is better.
 */
final class UpstreamCost {
    /** Time constant of the decay of an observed slowdown to the mean; service times change many times a second. */
    private static final double SLOWDOWN_DECAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Factor on the duration of a request that takes its upstream above the nearly full utilization. */
    private static final double NEARLY_FULL_FACTOR = 1.6;
    /** Added to the load penalty for each request at the upstream, so that load spreads evenly over equal upstreams. */
    private static final double COST_PER_REQUEST = 0.04;
    /** Factor on the duration at a cold upstream, that is, one that has started recently; it responds slowly. */
    private static final double COLD_FACTOR = 2.5;
    /** Weight of the failure rate in the cost: a rate of 10 percent doubles it. */
    private static final double FAILURE_WEIGHT = 10;
    /** Factor on the cost of an upstream that responds but fails its health check. */
    private static final double UNHEALTHY_FACTOR = 3;
    /**
     * Multiple of the expected latency beyond which a request of this node is overdue. The cost of an upstream with an
     * overdue request is multiplied by the same number.
     */
    private static final double OVERDUE_FACTOR = 2;

    private static final double PERCENT = 100.0;

    private UpstreamCost() {}

    static double predict(TrackedUpstream upstream, double meanSlowdown, long typicalLatencyNanos, long nowNanos) {
        double cost = relativeDuration(upstream, meanSlowdown, nowNanos)
                * (1 + FAILURE_WEIGHT * upstream.worstFailureRate(nowNanos));
        if (upstream.observation() != null && !upstream.observation().healthy()) {
            cost *= UNHEALTHY_FACTOR;
        }
        if (typicalLatencyNanos > 0
                && upstream.oldestLocalAgeNanos(nowNanos) > OVERDUE_FACTOR * typicalLatencyNanos * meanSlowdown) {
            cost *= OVERDUE_FACTOR;
        }
        return cost;
    }

    /** Predicts the duration as a multiple of the one on an idle upstream, without the penalties that the cost has. */
    static double relativeDuration(TrackedUpstream upstream, double meanSlowdown, long nowNanos) {
        int slots = Math.max(1, upstream.registration().slots());
        double relativeDuration =
                slowdown(upstream, meanSlowdown, nowNanos) * loadPenalty(upstream.load(nowNanos), slots);
        return upstream.isCold(nowNanos) ? relativeDuration * COLD_FACTOR : relativeDuration;
    }

    /** Returns the slowdown, which decays from the observed one towards the mean as the observation ages. */
    static double slowdown(TrackedUpstream upstream, double meanSlowdown, long nowNanos) {
        Observation observation = upstream.observation();
        if (observation == null) {
            return meanSlowdown;
        }
        double weight = Math.exp(-(nowNanos - observation.atNanos()) / SLOWDOWN_DECAY_NANOS);
        return weight * observation.slowdownPercent() / PERCENT + (1 - weight) * meanSlowdown;
    }

    /** Returns the factor on the duration for the requests already at an upstream; 1 when it is idle. */
    private static double loadPenalty(int load, int slots) {
        if (load >= slots) {
            return NEARLY_FULL_FACTOR * (1 + (load - slots + 1.0) / slots);
        }
        double factor =
                load + 1 > ConcurrencyLimit.NEARLY_FULL_UTILIZATION * slots && slots > 1 ? NEARLY_FULL_FACTOR : 1;
        return factor + COST_PER_REQUEST * load;
    }
}
