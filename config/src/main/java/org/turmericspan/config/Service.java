package org.turmericspan.config;

import java.time.Duration;
import org.turmericspan.ids.ServiceId;

/**
 * A service and its configured limits.
 *
 * @param id name of the service
 * @param slotsPerUpstream requests that one warm upstream runs at a time
 * @param coldRequests requests that one cold upstream runs at a time
 * @param extraDepth requests beyond its slots that a warm upstream may hold, to hide the network round trip
 * @param rampSuccesses successful requests after which a cold upstream gains one slot during its slow start
 * @param probesPerSecond rate limit of the probes to all upstreams of the service
 * @param queueLimit requests that may be queued on one node
 * @param defaultDeadline deadline of a request that does not carry one
 * @param longestLease longest deadline of a request, and so of a lease
 * @param retryPercent retry budget: retries and hedges allowed, in percent of calls
 * @param bodyLimitBytes largest request body, in bytes
 * @param answerLimitBytes largest response, in bytes
 */
public record Service(
        ServiceId id,
        int slotsPerUpstream,
        int coldRequests,
        int extraDepth,
        int rampSuccesses,
        int probesPerSecond,
        int queueLimit,
        Duration defaultDeadline,
        Duration longestLease,
        int retryPercent,
        int bodyLimitBytes,
        int answerLimitBytes) {}
