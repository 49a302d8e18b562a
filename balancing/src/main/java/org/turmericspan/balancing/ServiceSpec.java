package org.turmericspan.balancing;

import org.turmericspan.ids.ServiceId;

/**
 * What the configuration says of a service.
 *
 * @param id name of the service
 * @param healthPath path of its health check
 * @param maxConnections connections an upstream accepts from all nodes together
 * @param warmupNanos how long an upstream stays cold after a start
 * @param warmupPerSecond requests a second that a cold upstream bears; 0 when it needs no care
 */
public record ServiceSpec(
        ServiceId id, String healthPath, int maxConnections, long warmupNanos, double warmupPerSecond) {}
