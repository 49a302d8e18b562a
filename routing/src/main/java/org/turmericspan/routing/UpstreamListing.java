package org.turmericspan.routing;

import org.turmericspan.config.Upstream;
import org.turmericspan.membership.Vm;

/**
 * What operators and the platform say of an upstream.
 *
 * @param inService whether it and its availability zone take new work
 * @param listed whether its VM is in the list
 * @param leaving whether the list says that its VM is about to stop
 */
record UpstreamListing(boolean inService, boolean listed, boolean leaving) {
    static UpstreamListing of(OwnershipMap map, Upstream upstream) {
        Vm vm = map.view().vms().get(upstream.vm());
        return new UpstreamListing(
                map.configuration().isInService(upstream.availabilityZone(), upstream.vm()),
                vm != null,
                vm != null && vm.leaving());
    }
}
