package org.turmericspan.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.turmericspan.messages.PeerHandler;
import org.turmericspan.messages.PeerMessage;

/** Handlers of the messages that other nodes send, by the class of the message. */
public final class PeerHandlers {
    private final Map<Class<? extends PeerMessage>, PeerHandler> handlers = new ConcurrentHashMap<>();

    /**
     * Registers the handler of one kind of message.
     *
     * @param type class of the message
     * @param handler called on a worker, in the order in which one peer sent messages of the same lane
     * @throws IllegalStateException when the kind already has a handler
     */
    public void register(Class<? extends PeerMessage> type, PeerHandler handler) {
        if (handlers.putIfAbsent(type, handler) != null) {
            throw new IllegalStateException(type.getSimpleName() + " already has a handler");
        }
    }

    Optional<PeerHandler> find(PeerMessage message) {
        return Optional.ofNullable(handlers.get(message.getClass()));
    }
}
