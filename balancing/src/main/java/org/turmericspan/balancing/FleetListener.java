package org.turmericspan.balancing;

import java.util.Set;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.UpstreamId;

/** Takes what operators and upstreams publish. */
public interface FleetListener {
    /**
     * Takes a published configuration.
     *
     * @param configuration the configuration, which may be older than the one in force
     */
    void onConfiguration(RoutingConfiguration configuration);

    /**
     * Takes what an upstream published.
     *
     * @param registration the newest registration
     */
    void onRegistration(Registration registration);

    /**
     * Learns that an upstream is no longer registered.
     *
     * @param id the upstream
     */
    void onRemoval(UpstreamId id);

    /**
     * Learns which availability zones are to get nothing.
     *
     * @param zones all of them
     */
    void onEvacuation(Set<AvailabilityZoneId> zones);
}
