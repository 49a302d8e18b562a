package org.turmericspan.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.caps.CapDecision;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.http.HeaderList;
import org.turmericspan.tenancy.Identity;

/** Whether one request may be served: charged once to the cap of its tenant, and checked again while it waits. */
final class Entitlement {
    private final ForwardingDependencies dependencies;
    private final RoutingDecision routingDecision;
    private final List<String> credentials;
    private long checkedVersion;

    Entitlement(ForwardingDependencies dependencies, HeaderList headers, RoutingDecision routingDecision) {
        this.dependencies = dependencies;
        this.routingDecision = routingDecision;
        this.credentials = routingDecision.identity() instanceof Identity.Known
                ? dependencies.protocol().credentials(headers)
                : List.of();
        this.checkedVersion = routingDecision.version();
    }

    /**
     * Charges the request to the cap of its tenant.
     *
     * @param listener called once with the decision, on any thread
     * @param notCharged called instead, and at once, for a request that no cap applies to
     */
    void charge(Consumer<CapDecision> listener, Runnable notCharged) {
        if (routingDecision.identity() instanceof Identity.Known known
                && known.tenant().cap().isLimited()) {
            dependencies.tables().access().caps().admit(known.tenant(), listener);
        } else {
            notCharged.run();
        }
    }

    /**
     * Returns why the request must not be sent to an upstream any more, because a newer configuration has taken away
     * the key of its caller or given it to another tenant. A removed route changes nothing for requests that wait.
     */
    Optional<ResultCode> withdrawal() {
        if (!(routingDecision.identity() instanceof Identity.Known known)) {
            return Optional.empty();
        }
        RoutingConfiguration configuration =
                dependencies.tables().configuration().current().orElseThrow();
        if (configuration.version() == checkedVersion) {
            return Optional.empty();
        }
        Identity identity = dependencies.tables().access().keys().identify(configuration.tenants(), false, credentials);
        if (identity instanceof Identity.Refused refused) {
            return Optional.of(refused.code());
        }
        if (identity instanceof Identity.Known now
                && !now.tenant().id().equals(known.tenant().id())) {
            return Optional.of(ResultCode.KEY_MOVED);
        }
        checkedVersion = configuration.version();
        return Optional.empty();
    }
}
