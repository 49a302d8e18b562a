package org.turmericspan.caps;

import java.util.function.Consumer;
import org.turmericspan.tenancy.Tenant;

/** Decides whether a request of a tenant is within the tenant's cap. */
@FunctionalInterface
public interface CapGate {
    /** Admits each request, for deployments that keep no caps. */
    CapGate OPEN = (tenant, listener) -> listener.accept(CapDecision.UNCAPPED);

    /**
     * Charges one request, with all its retries and hedges, to the cap of a tenant.
     *
     * @param tenant tenant of the request
     * @param listener called exactly once, now or when another node has answered, on any thread
     */
    void admit(Tenant tenant, Consumer<CapDecision> listener);
}
