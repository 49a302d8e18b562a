package org.turmericspan.feed;

import java.util.function.Consumer;
import org.turmericspan.ids.SocketAddress;

/** Reads a store, or a node that passes on what it read there. Each read ends in time, also when nobody answers. */
public interface StoreReader {
    /**
     * Reads items in the order of their keys.
     *
     * @param source where to read
     * @param after key after which to begin; empty for the first page
     * @param listener takes the answer, on the feed's worker
     */
    void range(SocketAddress source, String after, Consumer<StoreReadResult> listener);

    /**
     * Waits for changes.
     *
     * @param source where to read
     * @param afterRevision revision after which changes are wanted
     * @param waitMillis longest wait for the first change
     * @param listener takes the answer, on the feed's worker
     */
    void watch(SocketAddress source, long afterRevision, long waitMillis, Consumer<StoreReadResult> listener);
}
