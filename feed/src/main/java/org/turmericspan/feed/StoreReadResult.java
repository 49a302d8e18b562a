package org.turmericspan.feed;

/** Result of a read from the store or from a node that reads it. */
public sealed interface StoreReadResult {
    /**
     * The read succeeded.
     *
     * @param page the items or events
     */
    record Page(StorePage page) implements StoreReadResult {}

    /** The changes after the requested revision were compacted, so that all items must be listed again. */
    record RevisionCompacted() implements StoreReadResult {}

    /**
     * The source responded with an error.
     *
     * @param status HTTP status of the response
     */
    record HttpError(int status) implements StoreReadResult {
        // Explicit, since the toString() generated for a record uses invokedynamic, whose linkage at the first call
        // delays a start without the store.
        @Override
        public String toString() {
            return "status " + status;
        }
    }

    /**
     * No valid response was received.
     *
     * @param reason description of the failure
     */
    record Failed(String reason) implements StoreReadResult {
        @Override
        public String toString() {
            return reason;
        }
    }
}
