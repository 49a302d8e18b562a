package org.turmericspan.feed;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Local replica of the store: the newest state of each item that was read, including removed items. Changes are listed
 * in the order of the store's revisions.
 */
public final class StoreMirror {
    private static final Comparator<StoreItem> BY_REVISION =
            (first, second) -> Long.compare(first.revision(), second.revision());
    /** Maximum number of removals retained for lagging readers; exceeds the changes of a fleet during one watch. */
    private static final int MAX_REMOVALS = 1_000;

    private static final byte[] NO_VALUE = new byte[0];

    private final RankedLock lock = new RankedLock(LockRank.VIEW);
    private Map<String, StoreItem> items = new HashMap<>();
    /** Items of a full list that is being stored, null if none is; readers get the previous items until it is whole. */
    private Map<String, StoreItem> replacement;

    private long revision;
    /** Highest revision of an item; none is newer, though some may have been removed again. */
    private long newestItemRevision;
    /** Oldest revision after which every change is still known, but for the gap. */
    private long oldestRevision;
    /** Last revision before a later list, which does not tell what was added and removed again before it. */
    private long gapStartRevision;
    /** Revision of the last later list; the changes after a revision within the gap are not known. */
    private long gapEndRevision;

    private boolean hasList;

    /** Stores an item. Its revision is kept when nothing relevant has changed, so that readers do not get it again. */
    void put(StoreItem item, boolean hasChanged) {
        lock.run(() -> {
            Map<String, StoreItem> written = replacement == null ? items : replacement;
            StoreItem previous = items.get(item.key());
            boolean isNew = hasChanged || previous == null || previous.isRemoved();
            long itemRevision = isNew ? item.revision() : previous.revision();
            newestItemRevision = Math.max(newestItemRevision, itemRevision);
            written.put(item.key(), new StoreItem(item.key(), item.value(), itemRevision, item.isRemoved()));
        });
    }

    /** Begins to store a full list, which replaces all items when it is complete. */
    void beginReplacement() {
        lock.run(() -> replacement = new HashMap<>());
    }

    /**
     * Replaces all items by those stored since the replacement began. Items that are missing from a later list count as
     * removed at its revision, so that readers get its differences and need no list themselves.
     *
     * @param listRevision revision of the list
     * @return whether items of earlier lists or watches are missing
     */
    boolean completeReplacement(long listRevision) {
        return lock.compute(() -> {
            boolean hasRemovals = false;
            for (StoreItem item : items.values()) {
                if (!replacement.containsKey(item.key())) {
                    hasRemovals |= !item.isRemoved();
                    replacement.put(item.key(), item.isRemoved() ? item : removed(item.key(), listRevision));
                }
            }
            items = replacement;
            replacement = null;
            recordList(listRevision);
            if (hasRemovals) {
                newestItemRevision = Math.max(newestItemRevision, listRevision);
            }
            return hasRemovals;
        });
    }

    private static StoreItem removed(String key, long removedRevision) {
        return new StoreItem(key, NO_VALUE, removedRevision, true);
    }

    private void recordList(long listRevision) {
        if (hasList) {
            oldestRevision = Math.max(oldestRevision, gapEndRevision);
            gapStartRevision = revision;
            gapEndRevision = listRevision;
        } else {
            hasList = true;
            oldestRevision = listRevision;
        }
    }

    /** Raises the revision of the replica after a read, and drops the oldest removals beyond the maximum. */
    void advance(long newRevision) {
        lock.run(() -> {
            revision = Math.max(revision, newRevision);
            trimRemovals();
        });
    }

    private void trimRemovals() {
        if (items.size() <= MAX_REMOVALS) {
            return;
        }
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
     * Returns the newest revision that was read.
     *
     * @return revision of the store, 0 before the first read
     */
    public long revision() {
        return lock.compute(() -> revision);
    }

    /** Returns the revision of the newest change of an item, 0 when it is not known. */
    long revisionOf(String key) {
        return lock.compute(() -> {
            StoreItem item = items.get(key);
            return item == null ? 0L : item.revision();
        });
    }

    /**
     * Returns whether the history of changes after a revision is still complete.
     *
     * @param after the revision
     * @return false when a reader has to list all items again
     */
    public boolean hasHistoryAfter(long after) {
        return lock.compute(() -> after >= oldestRevision && (after <= gapStartRevision || after >= gapEndRevision));
    }

    /**
     * Returns whether there are changes after a revision.
     *
     * @param after the revision
     * @return true when {@link #changesAfter} lists any item
     */
    public boolean hasChangesAfter(long after) {
        return lock.compute(() -> {
            if (newestItemRevision <= after) {
                return false;
            }
            for (StoreItem item : items.values()) {
                if (item.revision() > after) {
                    return true;
                }
            }
            return false;
        });
    }

    /**
     * Lists the changes after a revision.
     *
     * @param after the revision
     * @param status status of this node's replica
     * @return changed and removed items in the order of their revisions
     */
    public StorePage changesAfter(long after, RelayStatus status) {
        return lock.compute(() -> new StorePage(
                items.values().stream()
                        .filter(item -> item.revision() > after)
                        .sorted(BY_REVISION)
                        .toList(),
                revision,
                false,
                status));
    }

    /**
     * Lists all items.
     *
     * @param status status of this node's replica
     * @return the items, without removed ones
     */
    public StorePage snapshot(RelayStatus status) {
        return lock.compute(() -> new StorePage(
                items.values().stream().filter(item -> !item.isRemoved()).toList(), revision, false, status));
    }
}
