package org.turmericspan.feed;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Newest state of each item that was read, removals included, in the order of the store's revisions. */
public final class StoreMirror {
    private static final Comparator<StoreItem> BY_REVISION =
            (one, other) -> Long.compare(one.revision(), other.revision());
    /** Removals kept for readers that lag; more than a fleet changes within the life of a watch. */
    private static final int MAX_REMOVALS = 1_000;

    private final RankedLock lock = new RankedLock(LockRank.VIEW);
    private final Map<String, StoreItem> items = new HashMap<>();
    private long revision;
    private long oldestRevision;

    /** Takes an item; one that changed nothing of importance keeps its old revision. */
    void put(StoreItem item, boolean changed) {
        lock.run(() -> {
            StoreItem old = items.get(item.key());
            long since = changed || old == null ? item.revision() : old.revision();
            items.put(item.key(), new StoreItem(item.key(), item.value(), since, item.isRemoved()));
        });
    }

    /** Forgets everything before a whole reading. */
    void clear(long begin) {
        lock.run(() -> {
            items.clear();
            oldestRevision = begin;
        });
    }

    void advance(long to) {
        lock.run(() -> {
            revision = Math.max(revision, to);
            dropRemovals();
        });
    }

    private void dropRemovals() {
        List<StoreItem> removals = items.values().stream()
                .filter(StoreItem::isRemoved)
                .sorted(BY_REVISION)
                .toList();
        for (int i = 0; i < removals.size() - MAX_REMOVALS; i++) {
            items.remove(removals.get(i).key());
            oldestRevision = removals.get(i).revision();
        }
    }

    /**
     * Returns the newest revision read.
     *
     * @return the revision
     */
    public long revision() {
        return lock.compute(() -> revision);
    }

    /**
     * Tells whether changes after a revision can be told one by one.
     *
     * @param after the revision
     * @return false when they are no longer known
     */
    public boolean hasHistoryAfter(long after) {
        return lock.compute(() -> after >= oldestRevision);
    }

    /**
     * Lists the changes after a revision.
     *
     * @param after the revision
     * @return items and removals in the order of their revisions
     */
    public StorePage changesAfter(long after) {
        return lock.compute(() -> new StorePage(
                items.values().stream()
                        .filter(item -> item.revision() > after)
                        .sorted(BY_REVISION)
                        .toList(),
                revision,
                false));
    }

    /**
     * Lists all items.
     *
     * @return items, removals left out
     */
    public StorePage snapshot() {
        return lock.compute(() -> new StorePage(
                items.values().stream().filter(item -> !item.isRemoved()).toList(), revision, false));
    }
}
