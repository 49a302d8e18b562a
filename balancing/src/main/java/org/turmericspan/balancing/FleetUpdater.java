package org.turmericspan.balancing;

import java.util.Set;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.UpstreamId;

/** Applies published configurations and registrations to the tables and logs each change. */
public final class FleetUpdater implements FleetListener {
    private static final String PART = "fleet";

    private final ConfigurationHolder configuration;
    private final UpstreamTable upstreams;
    private final EventLog log;

    /**
     * Creates an updater.
     *
     * @param configuration holds the active configuration
     * @param upstreams table of the registered upstreams
     * @param log receives an event for each change
     */
    public FleetUpdater(ConfigurationHolder configuration, UpstreamTable upstreams, EventLog log) {
        this.configuration = configuration;
        this.upstreams = upstreams;
        this.log = log;
    }

    @Override
    public void onConfiguration(RoutingConfiguration candidate) {
        if (configuration.accept(candidate)) {
            log.write(Event.notice(PART, "Configuration in force.")
                    .with("version", candidate.version())
                    .with("tenants", candidate.tenants().tenants().size()));
        }
    }

    @Override
    public void onRegistration(Registration registration) {
        if (upstreams.register(registration)) {
            log.write(Event.notice(PART, registration.draining() ? "Upstream draining." : "Upstream registered.")
                    .with("upstream", registration.id())
                    .with("service", registration.service())
                    .with("zone", registration.availabilityZone())
                    .with("address", registration.address()));
        }
    }

    @Override
    public void onRemoval(UpstreamId id) {
        if (upstreams.remove(id)) {
            log.write(Event.notice(PART, "Upstream removed.").with("upstream", id));
        }
    }

    @Override
    public void onEvacuation(Set<AvailabilityZoneId> zones) {
        if (upstreams.setEvacuated(zones)) {
            log.write(Event.notice(PART, "Evacuated zones changed.").with("zones", zones));
        }
    }
}
