package org.turmericspan.feed;

import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.StorePosition;

/** Counts and logs the full lists that a node has received. Written by the worker of the feed, read by any thread. */
public final class ListLog {
    private final EventLog log;
    private volatile long lists;
    private volatile long refusedLists;

    ListLog(EventLog log) {
        this.log = log;
    }

    void record(ListRead list, boolean isTaken, StorePosition replica) {
        lists++;
        if (!isTaken) {
            refusedLists++;
        }
        log.write(Event.notice("store", isTaken ? "Items listed." : "List refused, older than the replica.")
                .with("source", list.source())
                .with("items", list.items().size())
                .with("listEra", list.lowestPosition().era())
                .with("listRevision", list.lowestPosition().revision())
                .with("era", replica.era())
                .with("revision", replica.revision()));
    }

    /**
     * Returns the number of full lists that this node has received, of the store and of other nodes.
     *
     * @return number of complete lists, refused ones among them
     */
    public long lists() {
        return lists;
    }

    /**
     * Returns the number of full lists that were not taken, since this node has later changes.
     *
     * @return number of refused lists
     */
    public long refusedLists() {
        return refusedLists;
    }
}
