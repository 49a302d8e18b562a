package org.turmericspan.membership;

import java.util.List;
import org.turmericspan.messages.PeerMessage;

/** Supplies the numbers of idle slots and queued requests of this node, which its heartbeats report. */
@FunctionalInterface
public interface IdleSlotsReport {
    /**
     * Returns the current numbers.
     *
     * @return one entry for each service of which this node owns upstreams
     */
    List<PeerMessage.IdleSlots> read();
}
