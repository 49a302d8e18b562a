package org.turmericspan.config;

import java.time.Duration;
import org.turmericspan.ids.ServiceId;

/**
 * A service and the limits its operators agreed.
 *
 * @param id name of the service
 * @param slotsPerUpstream requests one warm upstream runs at a time
 * @param coldRequests requests one cold upstream bears at a time
 * @param extraDepth requests beyond its slots that a warm upstream may hold, to hide the network round trip
 * @param rampSuccesses successes after which a cold upstream gains one slot
 * @param probesPerSecond probe budget of the whole service
 * @param queueLimit requests one node lets wait
 * @param defaultDeadline deadline of a request that names none
 * @param longestLease longest deadline of a request, and so of a lease
 * @param retryPercent retries and hedges allowed, in percent of calls
 * @param bodyLimitBytes largest request body
 * @param answerLimitBytes largest answer
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
