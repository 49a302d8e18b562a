package org.turmericspan.dispatch;

import org.turmericspan.retry.HedgePolicy;
import org.turmericspan.retry.RetryBudget;
import org.turmericspan.retry.RetryPolicy;

/**
 * Policies for extra attempts, which are retries and hedges.
 *
 * @param retry decides which failed attempts are retried
 * @param hedge decides after which delay a hedged request is sent to a second upstream
 * @param budget retry budget that limits retries and hedges together
 */
public record RetryPolicies(RetryPolicy retry, HedgePolicy hedge, RetryBudget budget) {
    /**
     * Returns policies without extra attempts.
     *
     * @return policies that allow no retry and no hedge
     */
    public static RetryPolicies none() {
        return new RetryPolicies(RetryPolicy.none(), HedgePolicy.none(), RetryBudget.unbounded());
    }
}
