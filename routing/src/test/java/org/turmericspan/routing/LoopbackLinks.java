package org.turmericspan.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerHandler;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;

/** In-memory network that delivers messages at once, records them, and drops those to and from disconnected nodes. */
final class LoopbackLinks {
    private final Map<VmId, PeerHandler> handlers = new HashMap<>();
    private final Set<VmId> disconnected = new HashSet<>();
    private final List<PeerMessage> sent = new ArrayList<>();

    void join(VmId vm, PeerHandler handler) {
        handlers.put(vm, handler);
    }

    void disconnect(VmId vm) {
        disconnected.add(vm);
    }

    <T extends PeerMessage> long countSent(Class<T> type) {
        return sent.stream().filter(type::isInstance).count();
    }

    PeerLinks of(VmId self) {
        return new PeerLinks() {
            @Override
            public void tell(VmId peer, PeerMessage message) {
                ask(peer, message, Duration.ZERO);
            }

            @Override
            public CompletionStage<PeerMessage> ask(VmId peer, PeerMessage message, Duration timeout) {
                sent.add(message);
                if (disconnected.contains(peer) || disconnected.contains(self) || !handlers.containsKey(peer)) {
                    return CompletableFuture.completedFuture(new PeerMessage.Unreachable(false));
                }
                return handlers.get(peer).handle(self, message);
            }
        };
    }
}
