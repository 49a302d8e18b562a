package org.turmericspan.messages;

import java.util.concurrent.CompletionStage;
import org.turmericspan.ids.VmId;

/** Handles the messages of one kind that other nodes send. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles a message without blocking.
     *
     * @param from VM of the node that sent it
     * @param message the message
     * @return the answer; {@link PeerMessage.Done} when there is nothing to say
     */
    CompletionStage<PeerMessage> handle(VmId from, PeerMessage message);
}
