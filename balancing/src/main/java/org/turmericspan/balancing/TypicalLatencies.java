package org.turmericspan.balancing;

import java.util.HashMap;
import java.util.Map;
import org.turmericspan.ids.RouteId;

/** Typical latency of each route at an idle upstream, a moving average. Guarded by the lock of the upstream table. */
final class TypicalLatencies {
    /** Weight of a new sample in the exponentially weighted moving average of a route. */
    private static final double EWMA_WEIGHT = 0.05;

    private final Map<RouteId, Double> nanosByRoute = new HashMap<>();

    /**
     * Adds the latency of a complete response, divided by the relative duration predicted for its upstream. This
     * corrects it for the predicted slowdown and load.
     */
    void addSample(Placement placement, long nowNanos) {
        double normalNanos = (nowNanos - placement.startedNanos()) / Math.max(1, placement.relativeDuration());
        nanosByRoute.merge(
                placement.route(), normalNanos, (average, sample) -> average + EWMA_WEIGHT * (sample - average));
    }

    /** Returns the typical latency; 0 when there is no sample. */
    long nanos(RouteId route) {
        return nanosByRoute.getOrDefault(route, 0.0).longValue();
    }
}
