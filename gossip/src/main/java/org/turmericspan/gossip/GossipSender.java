package org.turmericspan.gossip;

import java.util.Collection;
import org.turmericspan.ids.SocketAddress;

/** Sends gossip messages to other nodes. */
@FunctionalInterface
public interface GossipSender {
    /**
     * Sends a message once to each recipient, without confirmation that it arrives.
     *
     * @param message the message
     * @param recipients addresses of the receiving nodes
     */
    void send(GossipMessage message, Collection<SocketAddress> recipients);
}
