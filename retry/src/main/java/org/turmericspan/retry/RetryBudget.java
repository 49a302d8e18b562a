package org.turmericspan.retry;

import org.turmericspan.ids.ServiceId;

/** Bounds retries and hedges to a share of the calls. */
@FunctionalInterface
public interface RetryBudget {
    /**
     * Takes one repeat out of the budget.
     *
     * @param service service called
     * @return false when the budget is used up
     */
    boolean tryAcquire(ServiceId service);

    /**
     * Returns the budget without a bound, for tests and comparisons.
     *
     * @return the budget
     */
    static RetryBudget unbounded() {
        return service -> true;
    }
}
