package org.turmericspan.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.UpstreamId;

/** Records the versions of the configurations that one process of a node gets, and what is taken back from it. */
final class VersionRecorder implements FleetListener {
    private final List<Long> versions = new ArrayList<>();
    private final Map<UpstreamId, Registration> upstreams = new HashMap<>();
    private final Set<AvailabilityZoneId> evacuatedZones = new HashSet<>();
    private final List<String> takenBack = new ArrayList<>();
    private RoutingConfiguration newest;

    @Override
    public void onConfiguration(RoutingConfiguration configuration) {
        if (newest != null && configuration.version() < newest.version()) {
            takenBack.add("version " + newest.version());
        }
        versions.add(configuration.version());
        newest = configuration;
    }

    @Override
    public void onRegistration(Registration registration) {
        Registration previous = upstreams.put(registration.id(), registration);
        if (previous != null && previous.draining() && !registration.draining()) {
            takenBack.add("draining of " + registration.id().value());
        }
    }

    @Override
    public void onRemoval(UpstreamId id) {
        if (upstreams.remove(id) != null) {
            takenBack.add("registration of " + id.value());
        }
    }

    @Override
    public void onEvacuation(Set<AvailabilityZoneId> zones) {
        if (!zones.containsAll(evacuatedZones)) {
            takenBack.add("evacuation");
        }
        evacuatedZones.clear();
        evacuatedZones.addAll(zones);
    }

    List<Long> versions() {
        return versions;
    }

    /** Returns what was in force and then was not. */
    List<String> takenBack() {
        return takenBack;
    }

    /** Returns the identifiers of the upstreams that may get requests. */
    Set<String> usableUpstreams() {
        Set<String> usable = new HashSet<>();
        upstreams.forEach((id, registration) -> {
            if (!registration.draining()) {
                usable.add(id.value());
            }
        });
        return usable;
    }

    boolean isEvacuated(String zone) {
        return evacuatedZones.contains(new AvailabilityZoneId(zone));
    }

    boolean hasRouteOf(long version) {
        return newest.findRoute("h", "/a" + version + "/x").isPresent();
    }
}
