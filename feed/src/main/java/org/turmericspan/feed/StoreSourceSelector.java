package org.turmericspan.feed;

import org.turmericspan.ids.SocketAddress;

/** Chooses from where the feed reads next: the store, or a node that reads it. */
public interface StoreSourceSelector {
    /**
     * Chooses a source.
     *
     * @return address of the store or of a node's relay
     */
    SocketAddress select();

    /**
     * Learns that a source gave no answer.
     *
     * @param source address that was read
     */
    void reportFailure(SocketAddress source);
}
