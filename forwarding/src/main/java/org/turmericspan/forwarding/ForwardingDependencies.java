package org.turmericspan.forwarding;

import org.turmericspan.events.EventLog;
import org.turmericspan.http.HttpCaller;
import org.turmericspan.ids.MonotonicClock;

/**
 * Dependencies of the request path.
 *
 * @param tables shared tables that determine the upstream of a request
 * @param client HTTP client that calls the upstreams
 * @param protocol reads and writes headers
 * @param loadProber requests load reports from upstreams
 * @param metrics counts requests and attempts
 * @param clock source of monotonic time
 * @param log log of routing decisions
 */
public record ForwardingDependencies(
        ForwardingTables tables,
        HttpCaller client,
        CallProtocol protocol,
        LoadProber loadProber,
        ForwardingMetrics metrics,
        MonotonicClock clock,
        EventLog log) {}
