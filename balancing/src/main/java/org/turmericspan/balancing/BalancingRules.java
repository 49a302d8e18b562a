package org.turmericspan.balancing;

/**
 * Configured limits for the fleet that every decision observes.
 *
 * @param coldOverage multiple of the rate a cold upstream sustains that the fleet may send to it
 * @param coldSlack requests a second allowed on top of that
 * @param retryRatio retries and hedges allowed for each request of a service within the window
 * @param retrySlack retries and hedges allowed within a window beyond the ratio, on all nodes together
 * @param retryWindowNanos length of the sliding window
 */
public record BalancingRules(
        double coldOverage, double coldSlack, double retryRatio, double retrySlack, long retryWindowNanos) {}
