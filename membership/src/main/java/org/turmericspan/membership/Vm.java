package org.turmericspan.membership;

import java.util.Optional;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;

/**
 * One VM of the list that the platform publishes.
 *
 * @param id name of the VM
 * @param availabilityZone zone of the VM
 * @param role what runs on the VM
 * @param leaving whether the VM is about to stop
 * @param callerAddress address for callers, present for an entry VM
 * @param peerAddress address for other nodes, present for an entry VM
 */
public record Vm(
        VmId id,
        AvailabilityZoneId availabilityZone,
        Role role,
        boolean leaving,
        Optional<SocketAddress> callerAddress,
        Optional<SocketAddress> peerAddress) {
    /** What runs on a VM. */
    public enum Role {
        /** A node of the load balancer. */
        ENTRY,
        /** An upstream. */
        UPSTREAM
    }
}
