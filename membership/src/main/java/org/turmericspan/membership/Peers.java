package org.turmericspan.membership;

import java.util.List;
import java.util.Optional;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;

/**
 * Last reported states of the other nodes. They are always somewhat out of date; see
 * {@link PeerState#lastHeardNanos}.
 */
public interface Peers {
    /**
     * Looks up one node.
     *
     * @param vm VM of the node
     * @return its last reported state, or empty when no heartbeat of it was received
     */
    Optional<PeerState> find(VmId vm);

    /**
     * Looks up one node by its incarnation.
     *
     * @param incarnation an incarnation
     * @return VM of the node that last reported this incarnation, or empty when there is none
     */
    Optional<VmId> findByIncarnation(Incarnation incarnation);

    /**
     * Lists the nodes from which a heartbeat was received.
     *
     * @return last reported states, in the order of the VM names
     */
    List<PeerState> all();
}
