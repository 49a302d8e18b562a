package org.turmericspan.forwarding;

import org.turmericspan.balancing.Route;
import org.turmericspan.ids.ServiceId;

/**
 * The route and service chosen for a request.
 *
 * @param route route of the request
 * @param service service chosen among those of the route
 * @param fingerprint hash of its method, target and body
 * @param version version of the configuration that was applied
 */
record RoutingDecision(Route route, ServiceId service, long fingerprint, long version) {}
