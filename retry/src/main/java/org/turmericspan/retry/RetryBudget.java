package org.turmericspan.retry;

import org.turmericspan.ids.ServiceId;

/** Limits retries and hedges to a percentage of the calls. */
@FunctionalInterface
public interface RetryBudget {
    /**
     * Acquires the permission for one retry or hedge.
     *
     * @param service service called
     * @return false when the budget is exhausted
     */
    boolean tryAcquire(ServiceId service);

    /**
     * Returns a budget without a limit, for tests and comparisons.
     *
     * @return a budget that admits every retry and hedge
     */
    static RetryBudget unbounded() {
        return service -> true;
    }
}
