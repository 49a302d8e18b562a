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
     * @param failure how the read failed
     * @return whether another source is to be read at once; otherwise the next read is delayed
     */
    boolean reportFailure(StoreSource source, SourceFailure failure);
}
