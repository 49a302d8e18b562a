package org.turmericspan.forwarding;

import org.turmericspan.balancing.Route;
import org.turmericspan.ids.ServiceId;

/**
 * Where a request goes.
 *
 * @param route its route
 * @param service backend chosen for it
 * @param fingerprint hash of the request
 * @param version version of the configuration that decided
 */
record RunTarget(Route route, ServiceId service, long fingerprint, long version) {}
