package org.turmericspan.feed;

import org.turmericspan.ids.SocketAddress;

/** Selects the source of the next read of the feed: the store, or a node that relays it. */
public interface StoreSourceSelector {
    /**
     * Selects a source.
     *
     * @return address of the store or of a relay
     */
    SocketAddress select();

    /**
     * Reports that a read from a source failed.
     *
     * @param source address of the source
     */
    void reportFailure(SocketAddress source);
}
