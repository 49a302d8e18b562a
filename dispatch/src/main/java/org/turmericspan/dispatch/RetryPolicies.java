package org.turmericspan.dispatch;

import org.turmericspan.retry.HedgePolicy;
import org.turmericspan.retry.RetryBudget;
import org.turmericspan.retry.RetryPolicy;

/**
 * Policies on repeats, chosen at wiring.
 *
 * @param retry which failures are tried again
 * @param hedge when a second upstream is tried beside the first
 * @param budget bounds both
 */
public record RetryPolicies(RetryPolicy retry, HedgePolicy hedge, RetryBudget budget) {
    /**
     * Returns the policies that send every call at most once.
     *
     * @return the policies
     */
    public static RetryPolicies none() {
        return new RetryPolicies(RetryPolicy.none(), HedgePolicy.none(), RetryBudget.unbounded());
    }
}
