package org.turmericspan.balancing;

import java.util.List;
import org.turmericspan.ids.RouteId;

/**
 * One route of the configuration.
 *
 * @param id name, unique in the configuration
 * @param host host to which the route applies
 * @param prefix path prefix that begins and ends with a slash
 * @param services services among which requests are distributed; at least one
 * @param idempotent whether a request may run more than once
 * @param maxAttempts limit on the upstreams to which one request is sent
 * @param timeoutNanos longest time until the caller gets a response
 * @param targetLatencyNanos latency within which a response has its full value to the caller
 * @param priority priority of its requests; 0 is the highest
 * @param isPublic whether callers need no key although tenants are configured
 */
public record Route(
        RouteId id,
        String host,
        String prefix,
        List<WeightedService> services,
        boolean idempotent,
        int maxAttempts,
        long timeoutNanos,
        long targetLatencyNanos,
        int priority,
        boolean isPublic) {
    /** Copies the list of services. */
    public Route {
        services = List.copyOf(services);
    }
}
