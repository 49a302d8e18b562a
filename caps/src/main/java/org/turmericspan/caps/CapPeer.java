package org.turmericspan.caps;

import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;

/**
 * A node of the fleet that may hold shards of caps.
 *
 * @param address address of its cap messages
 * @param availabilityZone its zone
 * @param isAlive whether it is expected to answer; failed and stopping nodes keep their shards but are not asked
 */
public record CapPeer(SocketAddress address, AvailabilityZoneId availabilityZone, boolean isAlive) {
    /** Returns whether both are the same node, whatever its state. */
    boolean isSameNode(CapPeer other) {
        return address.equals(other.address) && availabilityZone.equals(other.availabilityZone);
    }
}
