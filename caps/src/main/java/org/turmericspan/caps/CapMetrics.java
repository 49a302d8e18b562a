package org.turmericspan.caps;

import org.turmericspan.ids.TenantId;

/** Counts the decisions on requests of tenants with a cap. */
@FunctionalInterface
public interface CapMetrics {
    /**
     * Counts a decision.
     *
     * @param tenant tenant of the configuration
     * @param outcome the decision
     */
    void decided(TenantId tenant, CapDecision.Outcome outcome);
}
