package org.turmericspan.node;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;

/** Links of a node that reaches no other. */
final class UnlinkedPeers implements PeerLinks {
    @Override
    public void tell(VmId peer, PeerMessage message) {}

    @Override
    public CompletionStage<PeerMessage> ask(VmId peer, PeerMessage message, Duration timeout) {
        return CompletableFuture.completedFuture(new PeerMessage.Unreachable(false));
    }
}
