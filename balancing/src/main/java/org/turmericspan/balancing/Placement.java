package org.turmericspan.balancing;

import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/**
 * Assignment of one attempt to an upstream. The attempt counts towards the upstream's load until it is finished.
 *
 * @param upstream the upstream
 * @param route route of the request
 * @param address address at which the upstream listens
 * @param startedNanos monotonic time of the choice
 * @param cost predicted cost, 1 for a request on an idle upstream with normal service time; includes the penalties for
 *     failures, a failed health check, overdue requests, a remote zone and another owner
 * @param relativeDuration predicted duration in units of the typical latency
 * @param slowdownPercent observed slowdown on which the choice is based; 100 is normal
 * @param load estimated number of requests at the upstream before this one
 * @param observationAgeNanos age of the observation on which the choice is based
 * @param cold whether the upstream was cold
 */
public record Placement(
        UpstreamId upstream,
        RouteId route,
        SocketAddress address,
        long startedNanos,
        double cost,
        double relativeDuration,
        int slowdownPercent,
        int load,
        long observationAgeNanos,
        boolean cold) {}
