package org.turmericspan.peer;

import java.util.Optional;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;

/** Looks up the addresses of other nodes. */
@FunctionalInterface
public interface PeerDirectory {
    /**
     * Looks up a node.
     *
     * @param peer VM of the node
     * @return address at which the node listens for other nodes, or empty when the node is not listed
     */
    Optional<SocketAddress> addressOf(VmId peer);
}
