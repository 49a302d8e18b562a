package org.turmericspan.membership;

import java.util.List;
import java.util.Optional;
import org.turmericspan.config.AvailabilityZone;
import org.turmericspan.config.Configuration;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RegionId;
import org.turmericspan.ids.VmId;

/**
 * Selects the nodes with which this node exchanges heartbeats: those of its own region, and those of other regions,
 * from which it gets newer configurations and views, but borrows no slots.
 */
public final class PeerSelection {
    private PeerSelection() {}

    /**
     * Lists the other nodes of this node's region. A node whose availability zone the configuration does not name
     * counts as one of them.
     *
     * @param view accepted view
     * @param configuration active configuration
     * @param self this node
     * @return VMs in the order of their names
     */
    public static List<VmId> sameRegion(FleetView view, Configuration configuration, NodeIdentity self) {
        return select(view, configuration, self, false);
    }

    /**
     * Lists the nodes of other regions.
     *
     * @param view accepted view
     * @param configuration active configuration
     * @param self this node
     * @return VMs in the order of their names
     */
    public static List<VmId> otherRegions(FleetView view, Configuration configuration, NodeIdentity self) {
        return select(view, configuration, self, true);
    }

    private static List<VmId> select(
            FleetView view, Configuration configuration, NodeIdentity self, boolean selectsOther) {
        Optional<RegionId> ownRegion = region(configuration, self.availabilityZone());
        return view.entryVms().stream()
                .filter(vm -> !vm.id().equals(self.vm()) && vm.peerAddress().isPresent())
                .filter(vm -> isOther(ownRegion, region(configuration, vm.availabilityZone())) == selectsOther)
                .map(Vm::id)
                .toList();
    }

    private static boolean isOther(Optional<RegionId> ownRegion, Optional<RegionId> region) {
        return ownRegion.isPresent() && region.isPresent() && !ownRegion.equals(region);
    }

    private static Optional<RegionId> region(Configuration configuration, AvailabilityZoneId zone) {
        return Optional.ofNullable(configuration.availabilityZones().get(zone)).map(AvailabilityZone::region);
    }
}
