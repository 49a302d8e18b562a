package org.turmericspan.forwarding;

import org.turmericspan.balancing.Route;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.tenancy.Identity;

/**
 * The route and service chosen for a request, and who sent it.
 *
 * @param route route of the request
 * @param service service chosen among those of the route
 * @param fingerprint hash of its method, target and body
 * @param version version of the configuration that was applied
 * @param identity identity of the caller; never a refused one
 */
record RoutingDecision(Route route, ServiceId service, long fingerprint, long version, Identity identity) {
    /** Returns the priority of the request: that of its tenant, or else that of its route. */
    int priority() {
        return identity instanceof Identity.Known known
                ? known.tenant().priority().orElse(route.priority())
                : route.priority();
    }
}
