package org.turmericspan.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.turmericspan.caps.CapDecision;
import org.turmericspan.caps.CapGate;
import org.turmericspan.tenancy.Tenant;

/** Records which requests are charged, so that a test decides on each. */
final class FakeCapGate implements CapGate {
    private final List<String> tenants = new ArrayList<>();
    private final List<Consumer<CapDecision>> listeners = new ArrayList<>();

    @Override
    public void admit(Tenant tenant, Consumer<CapDecision> listener) {
        tenants.add(tenant.id().value());
        listeners.add(listener);
    }

    /** Returns the tenants charged so far, one for each charge. */
    List<String> charged() {
        return tenants;
    }

    void decide(int index, CapDecision.Outcome outcome, long retryAfterMillis) {
        listeners.get(index).accept(new CapDecision(outcome, retryAfterMillis, "node-2", 0));
    }
}
