package org.turmericspan.balancing;

import org.turmericspan.ids.ServiceId;

/**
 * Configuration of a service.
 *
 * @param id name of the service
 * @param healthPath path of its health check
 * @param maxConnections connections that an upstream accepts from all nodes together
 * @param warmupNanos time for which an upstream is cold after it starts
 * @param warmupPerSecond requests a second that a cold upstream sustains; 0 when there is no limit
 */
public record ServiceSpec(
        ServiceId id, String healthPath, int maxConnections, long warmupNanos, double warmupPerSecond) {}
