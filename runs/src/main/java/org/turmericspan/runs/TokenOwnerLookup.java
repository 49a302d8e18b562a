package org.turmericspan.runs;

import java.util.Optional;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;

/** Finds the node that owns a run token. */
@FunctionalInterface
public interface TokenOwnerLookup {
    /**
     * Looks up a node by its life.
     *
     * @param incarnation incarnation in the token
     * @return VM of the node that runs with it, or empty when none is known
     */
    Optional<VmId> find(Incarnation incarnation);
}
