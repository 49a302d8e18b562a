package org.turmericspan.feed;

/** How a read of the store ended. */
public sealed interface StoreReadResult {
    /**
     * The store answered.
     *
     * @param page what it said
     */
    record Page(StorePage page) implements StoreReadResult {}

    /** The store no longer remembers the changes that were asked for, so everything has to be read anew. */
    record RevisionCompacted() implements StoreReadResult {}

    /**
     * The store turned the read away.
     *
     * @param status status of its answer
     */
    record HttpError(int status) implements StoreReadResult {
        // Written out because generated methods are linked at run time, which slows starts without the store down.
        @Override
        public String toString() {
            return "status " + status;
        }
    }

    /**
     * No readable answer came.
     *
     * @param reason what went wrong
     */
    record Failed(String reason) implements StoreReadResult {
        @Override
        public String toString() {
            return reason;
        }
    }
}
