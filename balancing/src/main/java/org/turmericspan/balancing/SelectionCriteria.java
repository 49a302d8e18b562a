package org.turmericspan.balancing;

import java.util.Set;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;

/**
 * What a choice of upstream must respect.
 *
 * @param route route of the request
 * @param service service of the request
 * @param excluded upstreams that were tried already
 * @param priority rank of the request, 0 is the highest; lower ranks find less room
 * @param maxCost highest predicted cost that is worth an attempt
 * @param maxSlowdown highest slowness at which the request is expected to end before its deadline; 1 as usual
 */
public record SelectionCriteria(
        RouteId route, ServiceId service, Set<UpstreamId> excluded, int priority, double maxCost, double maxSlowdown) {
    /** Copies the set. */
    public SelectionCriteria {
        excluded = Set.copyOf(excluded);
    }
}
