package org.turmericspan.feed;

import java.util.function.Consumer;
import org.turmericspan.ids.StorePosition;

/** Reads from the store or from a node that relays it. Each read ends after a bounded time, even without a response. */
public interface StoreReader {
    /** How current the items of a range read are. */
    enum Freshness {
        /** As of now. */
        CURRENT,
        /** Possibly seconds old. */
        STALE_ALLOWED
    }

    /**
     * Reads items in the order of their keys.
     *
     * @param source the store or a relay
     * @param after key after which the page starts; empty for the first page
     * @param freshness whether the store may answer with items that are seconds old, which costs it less
     * @param listener called with the result, on the worker of the feed
     */
    void range(StoreSource source, String after, Freshness freshness, Consumer<StoreReadResult> listener);

    /**
     * Waits for changes.
     *
     * @param source the store or a relay
     * @param after position after which changes are requested
     * @param waitMillis longest wait for the first change
     * @param listener called with the result, on the worker of the feed
     */
    void watch(StoreSource source, StorePosition after, long waitMillis, Consumer<StoreReadResult> listener);
}
