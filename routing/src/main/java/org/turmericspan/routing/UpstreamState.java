package org.turmericspan.routing;

import java.time.Duration;
import java.util.Optional;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;

/**
 * State of one kept upstream, for the dump.
 *
 * @param upstream its name
 * @param service its service
 * @param phase how warm it is
 * @param limit requests it may hold now
 * @param running requests it holds
 * @param oldest how long the oldest of them has run
 * @param latency smoothed service time
 * @param coldReason why it was last set cold
 * @param incarnation the life it said it is in
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
