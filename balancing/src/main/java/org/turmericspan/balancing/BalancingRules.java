package org.turmericspan.balancing;

/**
 * Agreed bounds that decisions keep.
 *
 * @param coldOverage factor on the rate that a cold upstream bears, up to which the agreement holds
 * @param coldSlack requests a second allowed above that
 * @param retryRatio repeats allowed for each request of a service, over the window
 * @param retrySlack repeats allowed in a window beyond that, on all nodes together
 * @param retryWindowNanos length of the window
 */
public record BalancingRules(
        double coldOverage, double coldSlack, double retryRatio, double retrySlack, long retryWindowNanos) {}
