package org.turmericspan.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.UpstreamId;

/** Records the versions of the configurations that one process of a node gets. */
final class VersionRecorder implements FleetListener {
    private final List<Long> versions = new ArrayList<>();
    private RoutingConfiguration newest;

    @Override
    public void onConfiguration(RoutingConfiguration configuration) {
        versions.add(configuration.version());
        newest = configuration;
    }

    @Override
    public void onRegistration(Registration registration) {}

    @Override
    public void onRemoval(UpstreamId id) {}

    @Override
    public void onEvacuation(Set<AvailabilityZoneId> zones) {}

    List<Long> versions() {
        return versions;
    }

    boolean hasRouteOf(long version) {
        return newest.findRoute("h", "/a" + version + "/x").isPresent();
    }
}
