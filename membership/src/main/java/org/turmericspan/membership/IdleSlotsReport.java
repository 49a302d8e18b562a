package org.turmericspan.membership;

import java.util.List;
import org.turmericspan.messages.PeerMessage;

/** Reports the slots that are idle at this node. */
@FunctionalInterface
public interface IdleSlotsReport {
    /**
     * Reads the report.
     *
     * @return one entry for each service that has idle slots or queued calls
     */
    List<PeerMessage.IdleSlots> read();
}
