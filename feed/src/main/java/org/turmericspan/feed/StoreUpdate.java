package org.turmericspan.feed;

import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.UpstreamId;

/** What an item of the store says. */
public sealed interface StoreUpdate {
    /**
     * Operators published a configuration.
     *
     * @param configuration the configuration
     */
    record Configuration(RoutingConfiguration configuration) implements StoreUpdate {}

    /**
     * Operators evacuated an availability zone, or took it back.
     *
     * @param zone the zone
     * @param isEvacuated whether its upstreams are to get nothing
     */
    record Evacuation(AvailabilityZoneId zone, boolean isEvacuated) implements StoreUpdate {}

    /**
     * An upstream is registered.
     *
     * @param registration what it says of itself
     */
    record Registered(Registration registration) implements StoreUpdate {}

    /**
     * An upstream's registration was removed.
     *
     * @param upstream the upstream
     */
    record Unregistered(UpstreamId upstream) implements StoreUpdate {}

    /** The item is of no concern here. */
    record Ignored() implements StoreUpdate {}
}
