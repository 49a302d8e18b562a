package org.turmericspan.feed;

import java.io.IOException;

/** Decodes items of the store into updates. */
@FunctionalInterface
public interface StoreItemDecoder {
    /**
     * Decodes an item.
     *
     * @param item the item, or its removal
     * @param nowNanos current monotonic time, to which the durations in the item are relative
     * @return the update, {@link StoreUpdate.Ignored} for an item that the load balancer does not use
     * @throws IOException when the item is malformed; the caller then ignores it
     */
    StoreUpdate decode(StoreItem item, long nowNanos) throws IOException;
}
