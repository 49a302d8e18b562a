package org.turmericspan.membership;

import java.util.List;
import java.util.Optional;
import org.turmericspan.ids.VmId;

/** What the other nodes last said of themselves. It is always old by some moments; see {@link PeerState#heardNanos}. */
public interface Peers {
    /**
     * Looks up one node.
     *
     * @param vm its VM
     * @return what it last said, or empty when it was never heard
     */
    Optional<PeerState> find(VmId vm);

    /**
     * Lists the nodes heard.
     *
     * @return in the order of their names
     */
    List<PeerState> all();
}
