package org.turmericspan.routing;

import java.util.Optional;
import org.turmericspan.calls.SlotReturn;

/** Decides whether the end of an attempt shows that the upstream has restarted. */
@FunctionalInterface
public interface RestartRule {
    /** Takes a refused or lost connection and the upstream's own word for a restart. */
    RestartRule ANY_SIGN = slotReturn -> {
        if (slotReturn.outcome() == SlotReturn.Outcome.CONNECTION_REFUSED) {
            return Optional.of(ColdReason.CONNECTION_REFUSED);
        }
        if (slotReturn.outcome() == SlotReturn.Outcome.CONNECTION_LOST) {
            return Optional.of(ColdReason.CONNECTION_LOST);
        }
        return slotReturn.signals().cold() ? Optional.of(ColdReason.REPORTED_COLD) : Optional.empty();
    };

    /** Sees no restart. */
    RestartRule NO_SIGN = slotReturn -> Optional.empty();

    /**
     * Decides.
     *
     * @param slotReturn how the attempt ended
     * @return why the upstream is taken for cold, or empty
     */
    Optional<ColdReason> sign(SlotReturn slotReturn);
}
