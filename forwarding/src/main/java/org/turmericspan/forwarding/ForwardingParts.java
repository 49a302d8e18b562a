package org.turmericspan.forwarding;

import java.util.function.Consumer;
import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.RepeatWindow;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.balancing.WeightedRotation;
import org.turmericspan.events.EventLog;
import org.turmericspan.http.HttpCaller;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.UpstreamId;

/**
 * What the path of a request uses.
 *
 * @param configuration the configuration in force
 * @param upstreams beliefs about upstreams
 * @param rotation spreads requests over backends
 * @param repeats budget of repeats
 * @param suspects requests that took upstreams down
 * @param caller client towards the upstreams
 * @param protocol header names and forms
 * @param recheck asked to look at an upstream whose connection broke
 * @param outcomes counts of what happened
 * @param clock monotonic time
 * @param log takes decisions
 */
public record ForwardingParts(
        ConfigurationHolder configuration,
        UpstreamTable upstreams,
        WeightedRotation rotation,
        RepeatWindow repeats,
        CrashSuspects suspects,
        HttpCaller caller,
        CallProtocol protocol,
        Consumer<UpstreamId> recheck,
        ForwardingOutcomes outcomes,
        MonotonicClock clock,
        EventLog log) {}
