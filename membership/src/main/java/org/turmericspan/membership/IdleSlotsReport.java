package org.turmericspan.membership;

import java.util.List;
import org.turmericspan.messages.PeerMessage;

/** Reports the slots that are idle at this node. */
@FunctionalInterface
public interface IdleSlotsReport {
    /**
     * Reads the report.
     *
     * @return one entry for each service with something idle or waiting
     */
    List<PeerMessage.IdleSlots> read();
}
