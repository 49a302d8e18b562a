package org.turmericspan.feed;

/** How a read of the store ended. */
public sealed interface StoreAnswer {
    /**
     * The store answered.
     *
     * @param page what it said
     */
    record Page(StorePage page) implements StoreAnswer {}

    /** The store no longer remembers the changes that were asked for, so everything has to be read anew. */
    record HistoryGone() implements StoreAnswer {}

    /**
     * The store turned the read away.
     *
     * @param status status of its answer
     */
    record Refused(int status) implements StoreAnswer {
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
    record Failed(String reason) implements StoreAnswer {
        @Override
        public String toString() {
            return reason;
        }
    }
}
