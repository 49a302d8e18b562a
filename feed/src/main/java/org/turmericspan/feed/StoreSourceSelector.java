package org.turmericspan.feed;

/** Selects the source of the next read of the feed: the store, or a node that relays it. */
public interface StoreSourceSelector {
    /**
     * Selects a source.
     *
     * @return the store or a relay
     */
    StoreSource select();

    /**
     * Reports that a read from a source failed.
     *
     * @param source the source
     */
    void reportFailure(StoreSource source);
}
