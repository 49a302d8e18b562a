package org.turmericspan.retry;

import org.turmericspan.ids.ServiceId;

/** Provides the configured retry budget of a service. */
@FunctionalInterface
public interface RetryBudgetPercent {
    /**
     * Returns the budget.
     *
     * @param service the service
     * @return maximum retries and hedges, in percent of calls
     */
    int percent(ServiceId service);
}
