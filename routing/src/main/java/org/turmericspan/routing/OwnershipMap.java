package org.turmericspan.routing;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RegionId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.FleetView;
import org.turmericspan.membership.Vm;

/**
 * The owner of each upstream, computed once for a configuration and a view.
 *
 * @param configuration the active configuration
 * @param view the accepted view
 * @param candidates entry VMs that may own upstreams, by name
 * @param owners owner by upstream, over all configured upstreams, so that taking some out of service moves no others
 * @param inService upstreams that are in service, by service
 */
public record OwnershipMap(
        Configuration configuration,
        FleetView view,
        Map<VmId, Vm> candidates,
        Map<UpstreamId, VmId> owners,
        Map<ServiceId, List<Upstream>> inService) {
    private static final RegionId NO_REGION = new RegionId("none");

    /**
     * Computes the owners and the upstreams in service.
     *
     * @param configuration the active configuration
     * @param view the accepted view
     * @return the owners and the upstreams in service for this configuration and view
     */
    public static OwnershipMap of(Configuration configuration, FleetView view) {
        Map<VmId, Vm> candidates = new TreeMap<>();
        OwnerCandidates.of(configuration, view).forEach(vm -> candidates.put(vm.id(), vm));
        Map<UpstreamId, VmId> owners = OwnerAssignment.assign(
                configuration.upstreams().values(), candidates.values(), zone -> region(configuration, zone));
        Map<ServiceId, List<Upstream>> inService = configuration.upstreams().values().stream()
                .filter(upstream -> configuration.isInService(upstream.availabilityZone(), upstream.vm()))
                .collect(Collectors.groupingBy(Upstream::service));
        return new OwnershipMap(configuration, view, candidates, owners, inService);
    }

    /**
     * Returns a supplier that recomputes the map only after the configuration or the view has changed.
     *
     * @param configuration supplies the active configuration
     * @param view supplies the accepted view
     * @return supplier of the current map, which may be called by any thread
     */
    public static Supplier<OwnershipMap> cached(Supplier<Configuration> configuration, Supplier<FleetView> view) {
        return new Cache(configuration, view);
    }

    /**
     * Lists the upstreams of a service that are in service.
     *
     * @param service the service
     * @return the upstreams, none when the service is unknown
     */
    public List<Upstream> upstreamsOf(ServiceId service) {
        return inService.getOrDefault(service, List.of());
    }

    /**
     * Finds the region of an availability zone.
     *
     * @param zone the availability zone
     * @return its region, or a name that no region has when the availability zone is unknown
     */
    public RegionId regionOf(AvailabilityZoneId zone) {
        return region(configuration, zone);
    }

    /**
     * Returns whether two VMs run in the same region.
     *
     * @param first name of a VM
     * @param second name of a VM
     * @return true when both are in the same region or the first is not in the view
     */
    public boolean sharesRegion(VmId first, VmId second) {
        Vm firstVm = view.vms().get(first);
        Vm secondVm = view.vms().get(second);
        return firstVm == null
                || (secondVm != null
                        && regionOf(firstVm.availabilityZone()).equals(regionOf(secondVm.availabilityZone())));
    }

    private static RegionId region(Configuration configuration, AvailabilityZoneId zone) {
        var found = configuration.availabilityZones().get(zone);
        return found == null ? NO_REGION : found.region();
    }

    private static final class Cache implements Supplier<OwnershipMap> {
        private final Supplier<Configuration> configuration;
        private final Supplier<FleetView> view;
        private volatile OwnershipMap cached;

        Cache(Supplier<Configuration> configuration, Supplier<FleetView> view) {
            this.configuration = configuration;
            this.view = view;
        }

        @Override
        public OwnershipMap get() {
            OwnershipMap current = cached;
            Configuration active = configuration.get();
            FleetView accepted = view.get();
            if (current == null || current.configuration() != active || current.view() != accepted) {
                current = of(active, accepted);
                cached = current;
            }
            return current;
        }
    }
}
