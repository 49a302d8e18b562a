package org.turmericspan.feed;

import java.util.function.Consumer;
import org.turmericspan.ids.SocketAddress;

/** Reads from the store or from a node that relays it. Each read ends after a bounded time, even without a response. */
public interface StoreReader {
    /**
     * Reads items in the order of their keys.
     *
     * @param source address of the store or of the relay
     * @param after key after which the page starts; empty for the first page
     * @param listener called with the result, on the worker of the feed
     */
    void range(SocketAddress source, String after, Consumer<StoreReadResult> listener);

    /**
     * Waits for changes.
     *
     * @param source address of the store or of the relay
     * @param afterRevision revision after which changes are requested
     * @param waitMillis longest wait for the first change
     * @param listener called with the result, on the worker of the feed
     */
    void watch(SocketAddress source, long afterRevision, long waitMillis, Consumer<StoreReadResult> listener);
}
