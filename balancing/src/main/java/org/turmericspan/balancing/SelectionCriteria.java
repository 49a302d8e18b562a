package org.turmericspan.balancing;

import java.util.Set;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;

/**
 * Constraints on the choice of an upstream.
 *
 * @param route route of the request, whose typical latency is used
 * @param service service of the request
 * @param excluded upstreams that already had an attempt of the request
 * @param priority priority of the request, 0 is the highest; lower priorities have lower concurrency limits
 * @param maxCost exclusive limit on the predicted cost; 1 is an idle upstream with normal service time
 * @param maxSlowdown highest slowdown at which the request is expected to complete before its deadline; 1 is normal
 * @param zoneDraw number from 0 to 1 by which the request belongs to the share that leaves the zone, or not; the same
 *     in all choices for the request
 */
public record SelectionCriteria(
        RouteId route,
        ServiceId service,
        Set<UpstreamId> excluded,
        int priority,
        double maxCost,
        double maxSlowdown,
        double zoneDraw) {
    /** Draw of a request that is the last to leave the zone. */
    private static final double LAST_DRAW = 1;

    /** Copies the set of excluded upstreams. */
    public SelectionCriteria {
        excluded = Set.copyOf(excluded);
    }

    /**
     * Creates the criteria of a request that does not leave its zone by a share.
     *
     * @param route route of the request, whose typical latency is used
     * @param service service of the request
     * @param excluded upstreams that already had an attempt of the request
     * @param priority priority of the request, 0 is the highest; lower priorities have lower concurrency limits
     * @param maxCost exclusive limit on the predicted cost; 1 is an idle upstream with normal service time
     * @param maxSlowdown highest slowdown at which the request is expected to complete before its deadline; 1 is normal
     */
    public SelectionCriteria(
            RouteId route,
            ServiceId service,
            Set<UpstreamId> excluded,
            int priority,
            double maxCost,
            double maxSlowdown) {
        this(route, service, excluded, priority, maxCost, maxSlowdown, LAST_DRAW);
    }
}
