package org.turmericspan.peer;

import java.util.Optional;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;

/** Tells where other nodes listen. */
@FunctionalInterface
public interface PeerDirectory {
    /**
     * Looks up a node.
     *
     * @param peer VM of the node
     * @return where it listens for other nodes, or empty when it is not listed
     */
    Optional<SocketAddress> addressOf(VmId peer);
}
