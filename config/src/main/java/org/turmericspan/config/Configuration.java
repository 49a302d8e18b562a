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
 * A complete set of published objects that was validated as a whole.
 *
 * @param version version, by which configurations are ordered
 * @param document document that the objects were read from
 * @param availabilityZones availability zones by name
 * @param services services by name
 * @param upstreams upstreams by name
 * @param rules rules in the order of the document
 * @param vmsOutOfService VMs that operators have taken out of service
 */
public record Configuration(
        ConfigurationVersion version,
        String document,
        Map<AvailabilityZoneId, AvailabilityZone> availabilityZones,
        Map<ServiceId, Service> services,
        Map<UpstreamId, Upstream> upstreams,
        List<Rule> rules,
        Set<VmId> vmsOutOfService) {
    /** Configuration that is active until the first one is accepted. */
    public static final Configuration EMPTY =
            new Configuration(ConfigurationVersion.NONE, "", Map.of(), Map.of(), Map.of(), List.of(), Set.of());

    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    /** Copies the collections, so that the configuration is immutable. */
    public Configuration {
        availabilityZones = Map.copyOf(availabilityZones);
        services = Map.copyOf(services);
        upstreams = Map.copyOf(upstreams);
        rules = List.copyOf(rules);
        vmsOutOfService = Set.copyOf(vmsOutOfService);
    }

    /**
     * Finds the rule that applies to a request.
     *
     * @param service service that the request calls
     * @param method HTTP method in upper case
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
     * Returns whether a request is idempotent, so that it may run more than once. Without a matching rule, only
     * requests with a safe method are.
     *
     * @param service service that the request calls
     * @param method HTTP method in upper case
     * @param path path within the service
     * @return true when the request is idempotent
     */
    public boolean isIdempotent(ServiceId service, String method, String path) {
        return ruleFor(service, method, path).map(Rule::idempotent).orElseGet(() -> SAFE_METHODS.contains(method));
    }

    /**
     * Returns whether a VM in an availability zone may receive new requests.
     *
     * @param availabilityZone availability zone in which the VM runs
     * @param vm name of the VM
     * @return true when the availability zone is known and neither it nor the VM is out of service
     */
    public boolean isInService(AvailabilityZoneId availabilityZone, VmId vm) {
        AvailabilityZone zone = availabilityZones.get(availabilityZone);
        return zone != null && zone.inService() && !vmsOutOfService.contains(vm);
    }
}
