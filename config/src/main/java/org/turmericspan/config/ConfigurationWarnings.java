package org.turmericspan.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.ServiceId;

/** Finds likely mistakes in a valid configuration: services without an upstream in service, and unused zones. */
public final class ConfigurationWarnings {
    private static final String SET = "set";

    private ConfigurationWarnings() {}

    /**
     * Finds the warnings of a configuration.
     *
     * @param configuration a valid configuration
     * @return warnings in a stable order
     */
    public static List<Fault> find(Configuration configuration) {
        List<Fault> warnings = new ArrayList<>();
        Set<ServiceId> servicesWithUpstream = configuration.upstreams().values().stream()
                .map(Upstream::service)
                .collect(Collectors.toSet());
        Set<ServiceId> servicesInService = configuration.upstreams().values().stream()
                .filter(upstream -> configuration.isInService(upstream.availabilityZone(), upstream.vm()))
                .map(Upstream::service)
                .collect(Collectors.toSet());
        for (ServiceId service :
                configuration.services().keySet().stream().sorted().toList()) {
            if (!servicesWithUpstream.contains(service)) {
                warnings.add(new Fault(SET, "Service " + service, "", "has no upstream"));
            } else if (!servicesInService.contains(service)) {
                warnings.add(new Fault(SET, "Service " + service, "", "has no upstream in service"));
            }
        }
        Set<AvailabilityZoneId> zonesWithUpstream = configuration.upstreams().values().stream()
                .map(Upstream::availabilityZone)
                .collect(Collectors.toSet());
        configuration.availabilityZones().keySet().stream()
                .filter(zone -> !zonesWithUpstream.contains(zone))
                .sorted()
                .forEach(zone -> warnings.add(new Fault(SET, "AvailabilityZone " + zone, "", "has no upstream")));
        return warnings;
    }
}
