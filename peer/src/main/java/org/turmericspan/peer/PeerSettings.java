package org.turmericspan.peer;

import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;

/**
 * Settings of the links of one node.
 *
 * @param vm VM of the node
 * @param incarnation incarnation of the node
 * @param address where the node listens for other nodes; outgoing connections are bound to the same host
 * @param deploymentKey key shared by the nodes of the deployment
 */
public record PeerSettings(VmId vm, Incarnation incarnation, SocketAddress address, String deploymentKey) {
    /** Returns a description without the key, so that the key is never logged. */
    @Override
    public String toString() {
        return "PeerSettings[" + vm + ", " + incarnation + ", " + address + "]";
    }
}
