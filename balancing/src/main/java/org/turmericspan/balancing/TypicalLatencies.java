package org.turmericspan.balancing;

import java.util.HashMap;
import java.util.Map;
import org.turmericspan.ids.RouteId;

/** Latency that an answer of each route usually takes at an idle upstream. The table's lock guards it. */
final class TypicalLatencies {
    /** Weight of a new answer in the typical latency of a route. */
    private static final double WEIGHT = 0.05;

    private final Map<RouteId, Double> nanosByRoute = new HashMap<>();

    /** Takes in a whole answer. What its upstream's speed and load were expected to add does not count. */
    void learn(Placement placement, long nowNanos) {
        double usual = (nowNanos - placement.startedNanos()) / Math.max(1, placement.relativeDuration());
        nanosByRoute.merge(placement.route(), usual, (old, fresh) -> old + WEIGHT * (fresh - old));
    }

    /** Returns the latency, 0 while none is known. */
    long nanos(RouteId route) {
        return nanosByRoute.getOrDefault(route, 0.0).longValue();
    }
}
