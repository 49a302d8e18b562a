package org.turmericspan.messages;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.turmericspan.ids.VmId;

/** Links over which a node sends messages to other nodes. */
public interface PeerLinks {
    /**
     * Sends a message that needs no reply. It may be lost.
     *
     * @param peer VM of the other node
     * @param message the message
     */
    void tell(VmId peer, PeerMessage message);

    /**
     * Sends a message and returns its reply without blocking.
     *
     * @param peer VM of the other node
     * @param message the message
     * @param timeout maximum time to wait for the reply
     * @return the reply, or {@link PeerMessage.Unreachable}; the stage never completes exceptionally
     */
    CompletionStage<PeerMessage> ask(VmId peer, PeerMessage message, Duration timeout);
}
