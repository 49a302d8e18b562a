package org.turmericspan.runs;

import java.util.Optional;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;

/** Finds the node that owns a run token. */
@FunctionalInterface
public interface TokenOwnerLookup {
    /**
     * Finds a node by its incarnation.
     *
     * @param incarnation incarnation that the token is bound to
     * @return VM of the node with that incarnation, or empty when none is known
     */
    Optional<VmId> find(Incarnation incarnation);
}
