package org.turmericspan.feed;

import java.io.IOException;

/** Tells what an item of the store says. */
@FunctionalInterface
public interface PublicationDecoder {
    /**
     * Decodes an item.
     *
     * @param item the item, or its removal
     * @param nowNanos monotonic time, from which remaining times are counted
     * @return what it says
     * @throws IOException when it cannot be read; it then names nothing to use
     */
    StoreUpdate decode(StoreItem item, long nowNanos) throws IOException;
}
