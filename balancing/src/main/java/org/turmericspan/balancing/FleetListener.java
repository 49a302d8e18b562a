package org.turmericspan.balancing;

import java.util.Set;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.UpstreamId;

/** Receives the configurations and evacuations that operators publish, and the registrations of upstreams. */
public interface FleetListener {
    /**
     * Receives a published configuration.
     *
     * @param configuration the configuration, which may be older than the active one
     */
    void onConfiguration(RoutingConfiguration configuration);

    /**
     * Receives the registration that an upstream published.
     *
     * @param registration the newest registration, which may be equal to the previous one
     */
    void onRegistration(Registration registration);

    /**
     * Receives the identifier of an upstream that is no longer registered.
     *
     * @param id the upstream
     */
    void onRemoval(UpstreamId id);

    /**
     * Receives the evacuated availability zones, whose upstreams must get no requests.
     *
     * @param zones all evacuated zones; replaces the previous set
     */
    void onEvacuation(Set<AvailabilityZoneId> zones);
}
