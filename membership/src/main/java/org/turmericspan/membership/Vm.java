package org.turmericspan.membership;

import java.util.Optional;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;

/**
 * One VM as the platform lists it.
 *
 * @param id name of the VM
 * @param availabilityZone where it runs
 * @param role what runs on it
 * @param leaving whether it is about to stop
 * @param callerAddress where callers connect, when it is an entry VM
 * @param peerAddress where other nodes connect, when it is an entry VM
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
        /** A node of the balancer. */
        ENTRY,
        /** An upstream. */
        UPSTREAM
    }
}
