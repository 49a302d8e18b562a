package org.turmericspan.routing;

import java.time.Duration;

/**
 * Rules by which an owner grants slots.
 *
 * @param viewLagBound longest time by which the VM list may lag behind the platform
 * @param hasGracePeriod whether a new owner waits until leases of other nodes have ended
 * @param maxTickGap gap between two ticks above which the process counts as paused
 * @param overdueRule when an upstream is skipped
 * @param concurrencyLimitRule how many requests an upstream may hold at a time
 * @param restartDetector what counts as evidence of a restart
 */
public record SlotRules(
        Duration viewLagBound,
        boolean hasGracePeriod,
        Duration maxTickGap,
        OverdueRule overdueRule,
        ConcurrencyLimitRule concurrencyLimitRule,
        RestartDetector restartDetector) {
    private static final Duration MAX_TICK_GAP = Duration.ofSeconds(1);

    /**
     * Returns the rules that a node uses unless a test disables one of them.
     *
     * @param viewLagBound longest time by which the VM list may lag behind the platform
     * @return rules with a grace period and with restart detection
     */
    public static SlotRules defaults(Duration viewLagBound) {
        return new SlotRules(
                viewLagBound,
                true,
                MAX_TICK_GAP,
                OverdueRule.BY_DEVIATION,
                ConcurrencyLimitRule.BY_PHASE,
                RestartDetector.ANY_EVIDENCE);
    }
}
