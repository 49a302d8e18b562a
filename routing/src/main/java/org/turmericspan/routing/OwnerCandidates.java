package org.turmericspan.routing;

import java.util.List;
import org.turmericspan.config.Configuration;
import org.turmericspan.membership.FleetView;
import org.turmericspan.membership.Vm;

/** Entry VMs that may own upstreams and accept new callers. */
public final class OwnerCandidates {
    private OwnerCandidates() {}

    /**
     * Lists the entry VMs that may own upstreams.
     *
     * @param configuration the active configuration
     * @param view the accepted view
     * @return entry VMs with an address for callers that are neither leaving nor out of service, in the order of their
     *     names
     */
    public static List<Vm> of(Configuration configuration, FleetView view) {
        return view.entryVms().stream()
                .filter(vm -> !vm.leaving())
                .filter(vm -> vm.callerAddress().isPresent())
                .filter(vm -> configuration.isInService(vm.availabilityZone(), vm.id()))
                .toList();
    }
}
