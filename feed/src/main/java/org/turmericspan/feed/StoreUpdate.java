package org.turmericspan.feed;

import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.UpstreamId;

/** Update decoded from an item of the store. */
public sealed interface StoreUpdate {
    /**
     * Operators published a configuration.
     *
     * @param configuration the published routing configuration
     */
    record Configuration(RoutingConfiguration configuration) implements StoreUpdate {}

    /**
     * Operators evacuated an availability zone, or ended its evacuation.
     *
     * @param zone the availability zone
     * @param isEvacuated whether its upstreams must not get any requests
     */
    record Evacuation(AvailabilityZoneId zone, boolean isEvacuated) implements StoreUpdate {}

    /**
     * An upstream is registered.
     *
     * @param registration the registration, as reported by the upstream
     */
    record Registered(Registration registration) implements StoreUpdate {}

    /**
     * An upstream's registration was removed.
     *
     * @param upstream the upstream
     */
    record Unregistered(UpstreamId upstream) implements StoreUpdate {}

    /** The item is not relevant to the load balancer. */
    record Ignored() implements StoreUpdate {}
}
