package org.turmericspan.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.ServiceId;

/** Finds what an accepted set probably does not mean. */
public final class ConfigurationWarnings {
    private static final String SET = "set";

    private ConfigurationWarnings() {}

    /**
     * Finds warnings.
     *
     * @param configuration an accepted set
     * @return warnings in a stable order
     */
    public static List<Fault> find(Configuration configuration) {
        List<Fault> warnings = new ArrayList<>();
        Set<ServiceId> served = configuration.upstreams().values().stream()
                .map(Upstream::service)
                .collect(Collectors.toSet());
        Set<ServiceId> inService = configuration.upstreams().values().stream()
                .filter(upstream -> configuration.isInService(upstream.availabilityZone(), upstream.vm()))
                .map(Upstream::service)
                .collect(Collectors.toSet());
        for (ServiceId service :
                configuration.services().keySet().stream().sorted().toList()) {
            if (!served.contains(service)) {
                warnings.add(new Fault(SET, "Service " + service, "", "has no upstream"));
            } else if (!inService.contains(service)) {
                warnings.add(new Fault(SET, "Service " + service, "", "has no upstream in service"));
            }
        }
        Set<AvailabilityZoneId> used = configuration.upstreams().values().stream()
                .map(Upstream::availabilityZone)
                .collect(Collectors.toSet());
        configuration.availabilityZones().keySet().stream()
                .filter(zone -> !used.contains(zone))
                .sorted()
                .forEach(zone -> warnings.add(new Fault(SET, "AvailabilityZone " + zone, "", "holds no upstream")));
        return warnings;
    }
}
