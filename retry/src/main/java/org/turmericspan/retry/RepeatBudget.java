package org.turmericspan.retry;

import org.turmericspan.ids.ServiceId;

/** Bounds retries and hedges to a share of the calls. */
@FunctionalInterface
public interface RepeatBudget {
    /**
     * Takes one repeat out of the budget.
     *
     * @param service service called
     * @return false when the budget is used up
     */
    boolean trySpend(ServiceId service);

    /**
     * Returns the budget without a bound, for tests and comparisons.
     *
     * @return the budget
     */
    static RepeatBudget unbounded() {
        return service -> true;
    }
}
