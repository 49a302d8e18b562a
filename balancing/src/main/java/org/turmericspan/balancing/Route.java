package org.turmericspan.balancing;

import java.util.List;
import org.turmericspan.ids.RouteId;

/**
 * One route of the configuration.
 *
 * @param id name, unique in the configuration
 * @param host host the route belongs to
 * @param prefix path prefix that begins and ends with a slash
 * @param services services that run the requests; at least one
 * @param idempotent whether a request may run more than once
 * @param maxAttempts most upstreams to which one request may be sent
 * @param timeoutNanos longest time a caller is kept waiting
 * @param targetLatencyNanos time within which an answer has its full worth
 * @param priority rank, 0 is the highest
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
        int priority) {
    /** Copies the list. */
    public Route {
        services = List.copyOf(services);
    }
}
