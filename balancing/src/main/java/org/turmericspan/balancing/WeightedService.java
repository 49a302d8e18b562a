package org.turmericspan.balancing;

import org.turmericspan.ids.ServiceId;

/**
 * One service of a route.
 *
 * @param service service that runs the requests
 * @param weight share of the route's requests, relative to the other backends; above 0
 */
public record WeightedService(ServiceId service, double weight) {}
