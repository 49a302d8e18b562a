package org.turmericspan.caps;

import org.turmericspan.ids.SocketAddress;

/** Sends cap messages to other nodes. */
@FunctionalInterface
public interface CapSender {
    /**
     * Sends a message once, without confirmation that it arrives.
     *
     * @param datagram the message
     * @param recipient address of the receiving node
     */
    void send(CapDatagram datagram, SocketAddress recipient);
}
