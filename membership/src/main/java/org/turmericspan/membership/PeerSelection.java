package org.turmericspan.membership;

import java.util.List;
import java.util.Optional;
import org.turmericspan.config.AvailabilityZone;
import org.turmericspan.config.Configuration;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RegionId;
import org.turmericspan.ids.VmId;

/** Decides which nodes exchange heartbeats: all of the own region, and those of other regions for documents alone. */
public final class PeerSelection {
    private PeerSelection() {}

    /**
     * Lists the other nodes of the own region. A node in an availability zone that the configuration does not name
     * counts as one of them.
     *
     * @param view accepted view
     * @param configuration configuration in force
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
     * @param configuration configuration in force
     * @param self this node
     * @return VMs in the order of their names
     */
    public static List<VmId> otherRegions(FleetView view, Configuration configuration, NodeIdentity self) {
        return select(view, configuration, self, true);
    }

    private static List<VmId> select(
            FleetView view, Configuration configuration, NodeIdentity self, boolean wantsOther) {
        Optional<RegionId> own = region(configuration, self.availabilityZone());
        return view.entryVms().stream()
                .filter(vm -> !vm.id().equals(self.vm()) && vm.peerAddress().isPresent())
                .filter(vm -> isOther(own, region(configuration, vm.availabilityZone())) == wantsOther)
                .map(Vm::id)
                .toList();
    }

    private static boolean isOther(Optional<RegionId> own, Optional<RegionId> region) {
        return own.isPresent() && region.isPresent() && !own.equals(region);
    }

    private static Optional<RegionId> region(Configuration configuration, AvailabilityZoneId zone) {
        return Optional.ofNullable(configuration.availabilityZones().get(zone)).map(AvailabilityZone::region);
    }
}
