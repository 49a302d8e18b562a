package org.turmericspan.feed;

import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.UpstreamId;

/** What an item of the store says. */
public sealed interface Published {
    /**
     * Operators published a configuration.
     *
     * @param configuration the configuration
     */
    record Configuration(RoutingConfiguration configuration) implements Published {}

    /**
     * Operators evacuated an availability zone, or took it back.
     *
     * @param zone the zone
     * @param isOut whether its upstreams are to get nothing
     */
    record Evacuation(AvailabilityZoneId zone, boolean isOut) implements Published {}

    /**
     * An upstream is registered.
     *
     * @param registration what it says of itself
     */
    record Registered(Registration registration) implements Published {}

    /**
     * An upstream's registration was removed.
     *
     * @param upstream the upstream
     */
    record Unregistered(UpstreamId upstream) implements Published {}

    /** The item is of no concern here. */
    record Nothing() implements Published {}
}
