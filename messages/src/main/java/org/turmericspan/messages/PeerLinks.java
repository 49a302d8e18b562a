package org.turmericspan.messages;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.turmericspan.ids.VmId;

/** Links to the other nodes. */
public interface PeerLinks {
    /**
     * Sends a message that needs no answer. It may be lost.
     *
     * @param peer VM of the other node
     * @param message the message
     */
    void tell(VmId peer, PeerMessage message);

    /**
     * Sends a message and waits for its answer without blocking.
     *
     * @param peer VM of the other node
     * @param message the message
     * @param timeout how long to wait
     * @return the answer, or {@link PeerMessage.Unreachable}; the stage never completes exceptionally
     */
    CompletionStage<PeerMessage> ask(VmId peer, PeerMessage message, Duration timeout);
}
