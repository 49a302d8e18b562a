package org.turmericspan.balancing;

import org.turmericspan.ids.ServiceId;

/**
 * Service of a route with its share of the requests.
 *
 * @param service service that runs the requests
 * @param weight weight relative to the other services of the route; above 0
 */
public record WeightedService(ServiceId service, double weight) {}
