package org.turmericspan.feed;

/** How a read from a source failed. */
public enum SourceFailure {
    /** The source responded that it cannot serve the read; a relay does so until it has contact with the store. */
    REJECTED,
    /** No valid response was received. */
    UNRESPONSIVE;

    static SourceFailure of(StoreReadResult result) {
        return result instanceof StoreReadResult.HttpError ? REJECTED : UNRESPONSIVE;
    }
}
