package org.turmericspan.peer;

import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;

/**
 * Settings of the links of one node.
 *
 * @param vm VM of the node
 * @param incarnation life of the node
 * @param address where the node listens for other nodes; outgoing connections leave from the same host
 * @param deploymentKey key shared by the nodes of the deployment
 */
public record PeerSettings(VmId vm, Incarnation incarnation, SocketAddress address, String deploymentKey) {
    /** Leaves out the key. */
    @Override
    public String toString() {
        return "PeerSettings[" + vm + ", " + incarnation + ", " + address + "]";
    }
}
