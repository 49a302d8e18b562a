package org.turmericspan.feed;

/**
 * Decides how this node responds to reads of its replica, so that no node takes data for current that may be outdated.
 */
public final class ReplicaRelay {
    /** Longest wait of a watch while this node cannot relay; a reader may have to ask several nodes in turn. */
    private static final long MAX_WAIT_WITHOUT_CONTACT_MILLIS = 100;

    private final StoreFeed feed;

    /** Responses to a read. */
    public enum Response {
        /** The changes, of which there may be none. */
        CHANGES,
        /** The replica does not have all changes that were requested; the reader has to list all items. */
        HISTORY_GONE,
        /** The replica may be outdated. */
        UNAVAILABLE
    }

    /**
     * Creates a relay.
     *
     * @param feed feed from which this node reads the store
     */
    public ReplicaRelay(StoreFeed feed) {
        this.feed = feed;
    }

    /**
     * Returns whether this node may respond with a full list.
     *
     * @param read the reader and what it expects; its position does not matter
     * @return false while the replica may be outdated
     */
    public boolean canList(ReplicaRead read) {
        return read.isFromBehind() ? feed.isComplete() : feed.canRelay(read.maxDistance());
    }

    /**
     * Returns whether a read is to be responded to before its wait ends.
     *
     * @param read the read
     * @return true when there is something to respond with, or nothing to wait for
     */
    public boolean isDue(ReplicaRead read) {
        return read.isFromBehind()
                || feed.canRelay(read.maxDistance())
                        && (!feed.mirror().hasHistoryAfter(read.after())
                                || feed.mirror().hasChangesAfter(read.after()));
    }

    /**
     * Returns how long a read may wait.
     *
     * @param read the read
     * @return time in milliseconds
     */
    public long waitMillis(ReplicaRead read) {
        return feed.canRelay(read.maxDistance())
                ? read.waitMillis()
                : Math.min(read.waitMillis(), MAX_WAIT_WITHOUT_CONTACT_MILLIS);
    }

    /**
     * Decides on the response to a read, as of now.
     *
     * @param read the read
     * @return the response
     */
    public Response response(ReplicaRead read) {
        boolean canServe = read.isFromBehind()
                ? feed.isComplete() && feed.position().isAfter(read.after())
                : feed.canRelay(read.maxDistance());
        if (!canServe) {
            return Response.UNAVAILABLE;
        }
        return feed.mirror().hasHistoryAfter(read.after()) ? Response.CHANGES : Response.HISTORY_GONE;
    }
}
