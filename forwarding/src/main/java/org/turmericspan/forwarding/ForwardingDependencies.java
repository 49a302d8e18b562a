package org.turmericspan.forwarding;

import org.turmericspan.events.EventLog;
import org.turmericspan.http.HttpCaller;
import org.turmericspan.ids.MonotonicClock;

/**
 * Objects that handle or record every request.
 *
 * @param tables shared tables that determine the upstream of a request
 * @param client HTTP client that calls the upstreams
 * @param protocol reads and writes the headers that callers, nodes and upstreams exchange
 * @param loadProber requests load reports from upstreams
 * @param notices records what upstreams say about further requests
 * @param metrics counts requests and attempts
 * @param clock source of monotonic time
 * @param log receives an event for each choice, failure and refusal
 */
public record ForwardingDependencies(
        ForwardingTables tables,
        HttpCaller client,
        CallProtocol protocol,
        LoadProber loadProber,
        NoticeRecorder notices,
        ForwardingMetrics metrics,
        MonotonicClock clock,
        EventLog log) {}
