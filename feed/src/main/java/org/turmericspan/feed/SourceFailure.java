package org.turmericspan.feed;

/** How a read from a source failed. */
public enum SourceFailure {
    /**
     * The source responded, but cannot serve the read, or only with older data than this node has. A relay does so
     * while it has no contact with the store, which it may regain at any time.
     */
    REJECTED,
    /** No valid response was received. */
    UNRESPONSIVE;

    static SourceFailure of(StoreReadResult result) {
        return result instanceof StoreReadResult.HttpError ? REJECTED : UNRESPONSIVE;
    }
}
