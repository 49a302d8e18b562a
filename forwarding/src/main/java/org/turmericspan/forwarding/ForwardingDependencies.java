package org.turmericspan.forwarding;

import org.turmericspan.events.EventLog;
import org.turmericspan.http.HttpCaller;
import org.turmericspan.ids.MonotonicClock;

/**
 * What the path of a request uses.
 *
 * @param tables what decides
 * @param client client towards the upstreams
 * @param protocol header names and forms
 * @param loadProber asks upstreams for their load
 * @param metrics counts of what happened
 * @param clock monotonic time
 * @param log takes decisions
 */
public record ForwardingDependencies(
        ForwardingTables tables,
        HttpCaller client,
        CallProtocol protocol,
        LoadProber loadProber,
        ForwardingMetrics metrics,
        MonotonicClock clock,
        EventLog log) {}
