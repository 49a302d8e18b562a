package org.turmericspan.dispatch;

import org.turmericspan.retry.HedgePolicy;
import org.turmericspan.retry.RepeatBudget;
import org.turmericspan.retry.RetryPolicy;

/**
 * Policies on repeats, chosen at wiring.
 *
 * @param retry which failures are tried again
 * @param hedge when a second upstream is tried beside the first
 * @param budget bounds both
 */
public record RepeatPolicies(RetryPolicy retry, HedgePolicy hedge, RepeatBudget budget) {
    /**
     * Returns the policies that send every call at most once.
     *
     * @return the policies
     */
    public static RepeatPolicies none() {
        return new RepeatPolicies(RetryPolicy.none(), HedgePolicy.none(), RepeatBudget.unbounded());
    }
}
