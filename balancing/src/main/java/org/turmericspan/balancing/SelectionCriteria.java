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
 */
public record SelectionCriteria(
        RouteId route, ServiceId service, Set<UpstreamId> excluded, int priority, double maxCost, double maxSlowdown) {
    /** Copies the set of excluded upstreams. */
    public SelectionCriteria {
        excluded = Set.copyOf(excluded);
    }
}
