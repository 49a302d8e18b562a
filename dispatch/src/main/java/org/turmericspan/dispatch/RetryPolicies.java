package org.turmericspan.dispatch;

import org.turmericspan.retry.HedgePolicy;
import org.turmericspan.retry.RetryBudget;
import org.turmericspan.retry.RetryPolicy;

/**
 * Policies for extra attempts.
 *
 * @param retry decides which failed attempts are retried
 * @param hedge decides after which delay a hedged request is sent to a second upstream
 * @param budget retry budget that limits retries and hedges together
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
