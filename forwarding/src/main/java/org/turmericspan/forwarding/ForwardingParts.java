package org.turmericspan.forwarding;

import org.turmericspan.events.EventLog;
import org.turmericspan.http.HttpCaller;
import org.turmericspan.ids.MonotonicClock;

/**
 * What the path of a request uses.
 *
 * @param tables what decides
 * @param caller client towards the upstreams
 * @param protocol header names and forms
 * @param lookup asks upstreams for their load
 * @param outcomes counts of what happened
 * @param clock monotonic time
 * @param log takes decisions
 */
public record ForwardingParts(
        ForwardingTables tables,
        HttpCaller caller,
        CallProtocol protocol,
        LoadLookup lookup,
        ForwardingOutcomes outcomes,
        MonotonicClock clock,
        EventLog log) {}
