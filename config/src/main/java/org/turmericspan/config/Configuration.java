package org.turmericspan.config;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;

/**
 * One whole set of published objects, checked as one piece.
 *
 * @param version place in the total order
 * @param document the document the set was read from
 * @param availabilityZones by name
 * @param services by name
 * @param upstreams by name
 * @param rules in the order of the document
 * @param vmsOutOfService VMs that operators have taken out
 */
public record Configuration(
        ConfigurationVersion version,
        String document,
        Map<AvailabilityZoneId, AvailabilityZone> availabilityZones,
        Map<ServiceId, Service> services,
        Map<UpstreamId, Upstream> upstreams,
        List<Rule> rules,
        Set<VmId> vmsOutOfService) {
    /** Configuration in force before any was accepted. */
    public static final Configuration EMPTY =
            new Configuration(ConfigurationVersion.NONE, "", Map.of(), Map.of(), Map.of(), List.of(), Set.of());

    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    /** Copies the collections, so that the set cannot change. */
    public Configuration {
        availabilityZones = Map.copyOf(availabilityZones);
        services = Map.copyOf(services);
        upstreams = Map.copyOf(upstreams);
        rules = List.copyOf(rules);
        vmsOutOfService = Set.copyOf(vmsOutOfService);
    }

    /**
     * Finds the rule that governs a request.
     *
     * @param service service called
     * @param method HTTP method in capital letters
     * @param path path within the service
     * @return the rule with the longest matching prefix, or empty when none matches
     */
    public Optional<Rule> ruleFor(ServiceId service, String method, String path) {
        return rules.stream()
                .filter(rule -> rule.service().equals(service))
                .filter(rule -> rule.method().equals(method) && path.startsWith(rule.pathPrefix()))
                .max(Comparator.comparingInt(rule -> rule.pathPrefix().length()));
    }

    /**
     * Tells whether a request may be repeated. Without a rule, only safe methods may.
     *
     * @param service service called
     * @param method HTTP method in capital letters
     * @param path path within the service
     * @return true when the request is idempotent
     */
    public boolean isIdempotent(ServiceId service, String method, String path) {
        return ruleFor(service, method, path).map(Rule::idempotent).orElseGet(() -> SAFE_METHODS.contains(method));
    }

    /**
     * Tells whether a VM in an availability zone may get new work.
     *
     * @param availabilityZone where it runs
     * @param vm its name
     * @return true when neither the availability zone nor the VM is out of service
     */
    public boolean isInService(AvailabilityZoneId availabilityZone, VmId vm) {
        AvailabilityZone zone = availabilityZones.get(availabilityZone);
        return zone != null && zone.inService() && !vmsOutOfService.contains(vm);
    }
}
