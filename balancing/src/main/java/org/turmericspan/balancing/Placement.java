package org.turmericspan.balancing;

import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/**
 * One attempt's place at an upstream. It counts there until it is finished.
 *
 * @param upstream the upstream
 * @param route route of the request
 * @param address where it listens
 * @param startedNanos monotonic time of the choice
 * @param cost predicted cost, 1 for a request on an idle upstream at its usual speed; what speaks against the upstream
 *     beside its speed counts too
 * @param relativeDuration predicted duration in units of the typical latency
 * @param slowdownPercent slowness on which the choice rests
 * @param load requests believed to be there
 * @param observationAgeNanos age of the observation on which the choice rests
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
