package org.turmericspan.messages;

import java.util.concurrent.CompletionStage;
import org.turmericspan.ids.VmId;

/** Handles the messages of one kind that other nodes send. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles a message without blocking.
     *
     * @param from VM of the sender
     * @param message the message
     * @return the reply; {@link PeerMessage.Done} when there is nothing to report
     */
    CompletionStage<PeerMessage> handle(VmId from, PeerMessage message);
}
