package org.turmericspan.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.turmericspan.messages.PeerHandler;
import org.turmericspan.messages.PeerMessage;

/** Handlers for the messages of other nodes, by the class of the message. */
public final class PeerHandlers {
    private final Map<Class<? extends PeerMessage>, PeerHandler> handlers = new ConcurrentHashMap<>();

    /**
     * Registers the handler for one type of message.
     *
     * @param type class of the message
     * @param handler called on a worker thread, in the order in which a peer sent messages of the same traffic class
     * @throws IllegalStateException when the type already has a handler
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
