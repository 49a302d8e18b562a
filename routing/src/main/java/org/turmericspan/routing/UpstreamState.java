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
 * @param phase its warm-up state
 * @param limit requests it may hold now
 * @param running requests it holds
 * @param oldest how long the oldest of them has run
 * @param latency smoothed service time
 * @param coldReason why it was last marked cold
 * @param incarnation the incarnation it last reported
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
