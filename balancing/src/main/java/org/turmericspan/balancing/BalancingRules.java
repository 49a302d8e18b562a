package org.turmericspan.balancing;

/**
 * Limits that all nodes of the fleet keep together.
 *
 * @param coldOverage factor on the request rate that a cold upstream sustains; the fleet sends at most the product
 *     plus coldSlack to it
 * @param coldSlack requests per second allowed in addition to that product
 * @param retryRatio retries and hedges allowed per request of a service, counted over the window; 0.2 is one for five
 *     requests
 * @param retrySlack retries and hedges allowed per service and window in addition to the ratio, by all nodes together
 * @param retryWindowNanos length of the sliding window over which requests, retries and hedges are counted
 */
public record BalancingRules(
        double coldOverage, double coldSlack, double retryRatio, double retrySlack, long retryWindowNanos) {}
