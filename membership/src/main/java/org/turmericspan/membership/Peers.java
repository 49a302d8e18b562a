package org.turmericspan.membership;

import java.util.List;
import java.util.Optional;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;

/**
 * What the other nodes last said of themselves. It is always old by some moments; see
 * {@link PeerState#lastHeardNanos}.
 */
public interface Peers {
    /**
     * Looks up one node.
     *
     * @param vm its VM
     * @return what it last said, or empty when it was never heard
     */
    Optional<PeerState> find(VmId vm);

    /**
     * Looks up one node by its life.
     *
     * @param incarnation a life
     * @return VM of the node that last said to be in that life, or empty when none did
     */
    Optional<VmId> findByIncarnation(Incarnation incarnation);

    /**
     * Lists the nodes heard.
     *
     * @return in the order of their names
     */
    List<PeerState> all();
}
