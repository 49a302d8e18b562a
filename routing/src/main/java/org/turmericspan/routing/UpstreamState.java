package org.turmericspan.routing;

import java.time.Duration;
import java.util.Optional;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;

/**
 * State of one owned upstream, for the state dump.
 *
 * @param upstream its name
 * @param service its service
 * @param phase its warm-up phase
 * @param limit requests it may hold now
 * @param running leases on it
 * @param oldest how long the request of the oldest lease has run; zero without a lease
 * @param latency smoothed mean of its service times; zero before the first one
 * @param coldReason why it was last marked cold; empty if it never was
 * @param incarnation the incarnation it last reported, if any
 */
public record UpstreamState(
        UpstreamId upstream,
        ServiceId service,
        Phase phase,
        int limit,
        int running,
        Duration oldest,
        Duration latency,
        Optional<ColdReason> coldReason,
        Optional<String> incarnation) {}
