package org.turmericspan.routing;

import org.turmericspan.config.Upstream;
import org.turmericspan.membership.Vm;

/**
 * State of an upstream according to the configuration and the platform's VM list.
 *
 * @param inService whether it and its availability zone accept new work
 * @param listed whether its VM is in the list
 * @param leaving whether the list marks its VM as about to stop
 */
record UpstreamListing(boolean inService, boolean listed, boolean leaving) {
    static UpstreamListing of(OwnershipMap ownershipMap, Upstream upstream) {
        Vm vm = ownershipMap.view().vms().get(upstream.vm());
        return new UpstreamListing(
                ownershipMap.configuration().isInService(upstream.availabilityZone(), upstream.vm()),
                vm != null,
                vm != null && vm.leaving());
    }
}
