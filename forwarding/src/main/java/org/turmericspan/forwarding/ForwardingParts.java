package org.turmericspan.forwarding;

import java.util.function.Consumer;
import org.turmericspan.events.EventLog;
import org.turmericspan.http.HttpCaller;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.UpstreamId;

/**
 * What the path of a request uses.
 *
 * @param tables what decides
 * @param caller client towards the upstreams
 * @param protocol header names and forms
 * @param recheck asked to look at an upstream whose connection broke
 * @param outcomes counts of what happened
 * @param clock monotonic time
 * @param log takes decisions
 */
public record ForwardingParts(
        ForwardingTables tables,
        HttpCaller caller,
        CallProtocol protocol,
        Consumer<UpstreamId> recheck,
        ForwardingOutcomes outcomes,
        MonotonicClock clock,
        EventLog log) {}
