package org.turmericspan.routing;

import java.time.Duration;

/**
 * Rules by which a keeper grants slots.
 *
 * @param viewLagBound longest time by which the list of VMs may lag
 * @param guarded whether a new keeper waits until leases of others have ended
 * @param maxTickGap longest gap between two ticks of a process that is awake
 * @param overdue when an upstream is passed over
 * @param depth how much an upstream may hold
 * @param restart what shows a restart
 */
public record SlotRules(
        Duration viewLagBound,
        boolean guarded,
        Duration maxTickGap,
        OverdueRule overdue,
        DepthRule depth,
        RestartRule restart) {
    private static final Duration PAUSE_BOUND = Duration.ofSeconds(1);

    /**
     * Builds the usual rules.
     *
     * @param viewLagBound longest time by which the list of VMs may lag
     * @return the rules
     */
    public static SlotRules defaults(Duration viewLagBound) {
        return new SlotRules(
                viewLagBound, true, PAUSE_BOUND, OverdueRule.BY_DEVIATION, DepthRule.BY_PHASE, RestartRule.ANY_SIGN);
    }
}
