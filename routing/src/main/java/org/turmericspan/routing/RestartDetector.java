package org.turmericspan.routing;

import java.util.Optional;
import org.turmericspan.calls.SlotReturn;

/** Decides whether the end of an attempt shows that the upstream has restarted. */
@FunctionalInterface
public interface RestartDetector {
    /** Detects a restart by a refused or lost connection or by the upstream's own report that it is cold. */
    RestartDetector ANY_EVIDENCE = slotReturn -> {
        if (slotReturn.outcome() == SlotReturn.Outcome.CONNECTION_REFUSED) {
            return Optional.of(ColdReason.CONNECTION_REFUSED);
        }
        if (slotReturn.outcome() == SlotReturn.Outcome.CONNECTION_LOST) {
            return Optional.of(ColdReason.CONNECTION_LOST);
        }
        return slotReturn.signals().cold() ? Optional.of(ColdReason.REPORTED_COLD) : Optional.empty();
    };

    /** Never detects a restart. */
    RestartDetector DISABLED = slotReturn -> Optional.empty();

    /**
     * Examines the end of an attempt.
     *
     * @param slotReturn how the attempt ended
     * @return why the upstream is marked cold, or empty
     */
    Optional<ColdReason> detect(SlotReturn slotReturn);
}
