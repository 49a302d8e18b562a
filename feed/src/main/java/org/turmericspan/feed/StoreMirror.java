package org.turmericspan.feed;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.turmericspan.ids.StorePosition;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Local replica of the store: the newest state of each item that was read, including removed items. Changes are listed
 * in the order of the store's positions, also across a restoration of the store.
 */
public final class StoreMirror {
    private static final Comparator<StoreItem> BY_POSITION =
            (first, second) -> first.position().compareTo(second.position());
    /** Maximum number of removals retained for lagging readers; exceeds the changes of a fleet during one watch. */
    private static final int MAX_REMOVALS = 1_000;
    /** Maximum number of gaps in the history; readers from before an older one have to list all items. */
    private static final int MAX_GAPS = 8;

    private static final byte[] NO_VALUE = new byte[0];

    private final RankedLock lock = new RankedLock(LockRank.VIEW);
    private Map<String, StoreItem> items = new HashMap<>();
    /** Items of a full list that is being stored, null if none is; readers get the previous items until it is whole. */
    private Map<String, StoreItem> replacement;

    private StorePosition replacementPosition = StorePosition.START;

    private StorePosition position = StorePosition.START;
    /** Highest position of an item; none is newer, though some may have been removed again. */
    private StorePosition newestItemPosition = StorePosition.START;
    /** Oldest position after which every change is still known, but for the gaps. */
    private StorePosition oldestPosition = StorePosition.START;
    /** Parts of the history whose changes are known only as a whole, oldest first. */
    private final Deque<Gap> gaps = new ArrayDeque<>();

    private boolean hasList;

    /**
     * Stores an item; returns its position here, which is kept when nothing relevant has changed, so that readers do
     * not get it again.
     */
    StorePosition put(StoreItem item, boolean hasChanged) {
        return lock.compute(() -> {
            StoreItem previous = items.get(item.key());
            boolean isNew = hasChanged || previous == null || previous.isRemoved();
            StorePosition itemPosition = isNew ? changePosition(item) : previous.position();
            newestItemPosition = newestItemPosition.max(itemPosition);
            written().put(item.key(), new StoreItem(item.key(), item.value(), itemPosition, item.isRemoved()));
            return itemPosition;
        });
    }

    /** Returns the position at which this replica changes: a list may bring what its source has had for longer. */
    private StorePosition changePosition(StoreItem item) {
        return replacement == null || !hasList || item.position().isAfter(position)
                ? item.position()
                : replacementPosition;
    }

    /** Keeps the present state of an item, which a read does not replace. */
    void retain(StoreItem item) {
        lock.run(() -> written().put(item.key(), items.getOrDefault(item.key(), item)));
    }

    /** Keeps the present state of an item that a full list does not have. */
    void retainMissing(String key) {
        lock.run(() -> {
            StoreItem item = items.get(key);
            if (item != null) {
                written().putIfAbsent(key, item);
            }
        });
    }

    private Map<String, StoreItem> written() {
        return replacement == null ? items : replacement;
    }

    /** Returns whether an item is known to have been removed. */
    boolean isRemoved(String key) {
        return lock.compute(() -> {
            StoreItem item = items.get(key);
            return item != null && item.isRemoved();
        });
    }

    /** Returns whether an item is present with the value of another one. */
    boolean hasValueOf(StoreItem other) {
        return lock.compute(() -> {
            StoreItem item = items.get(other.key());
            return item != null && item.isRemoved() == other.isRemoved() && Arrays.equals(item.value(), other.value());
        });
    }

    /** Forgets all but one item, since they turned out not to be of the history of the store. */
    void restart(String retainedKey) {
        lock.run(() -> {
            StoreItem retained = items.get(retainedKey);
            items = new HashMap<>();
            if (retained != null) {
                items.put(
                        retainedKey,
                        new StoreItem(retainedKey, retained.value(), StorePosition.START, retained.isRemoved()));
            }
            gaps.clear();
            hasList = false;
            position = StorePosition.START;
            newestItemPosition = StorePosition.START;
            oldestPosition = StorePosition.START;
        });
    }

    /** Begins to store a full list, which replaces all items when it is complete. */
    void beginReplacement(StorePosition listPosition) {
        lock.run(() -> {
            replacement = new HashMap<>();
            replacementPosition = listPosition;
        });
    }

    /**
     * Replaces all items by those stored since the replacement began. Items that are missing from a later list count as
     * removed at its position, so that readers get its differences and need no list themselves.
     *
     * @param listPosition position of the list
     * @return whether items of earlier lists or watches are missing
     */
    boolean completeReplacement(StorePosition listPosition) {
        return lock.compute(() -> {
            boolean hasRemovals = false;
            for (StoreItem item : items.values()) {
                if (!replacement.containsKey(item.key())) {
                    hasRemovals |= !item.isRemoved();
                    replacement.put(item.key(), item.isRemoved() ? item : removed(item.key(), listPosition));
                }
            }
            items = replacement;
            replacement = null;
            recordList(listPosition);
            if (hasRemovals) {
                newestItemPosition = newestItemPosition.max(listPosition);
            }
            return hasRemovals;
        });
    }

    private static StoreItem removed(String key, StorePosition removedPosition) {
        return new StoreItem(key, NO_VALUE, removedPosition, true);
    }

    /** A later list does not tell what was added and removed again before it. */
    private void recordList(StorePosition listPosition) {
        if (hasList) {
            recordGap(listPosition);
        } else {
            hasList = true;
            oldestPosition = listPosition;
        }
        position = position.max(listPosition);
    }

    private void recordGap(StorePosition end) {
        if (!end.isAfter(position)) {
            return;
        }
        gaps.addLast(new Gap(position, end));
        if (gaps.size() > MAX_GAPS) {
            oldestPosition = oldestPosition.max(gaps.removeFirst().end());
        }
    }

    /**
     * Raises the position of the replica after a read, and drops the oldest removals beyond the maximum. A reader that
     * had later changes of an era which the store has lost does not get by its differences to the next one.
     */
    void advance(StorePosition newPosition) {
        lock.run(() -> {
            if (newPosition.isInLaterEra(position)) {
                recordGap(newPosition);
            }
            position = position.max(newPosition);
            trimRemovals();
        });
    }

    private void trimRemovals() {
        if (items.size() <= MAX_REMOVALS) {
            return;
        }
        List<StoreItem> removals = items.values().stream()
                .filter(StoreItem::isRemoved)
                .sorted(BY_POSITION)
                .toList();
        for (int i = 0; i < removals.size() - MAX_REMOVALS; i++) {
            items.remove(removals.get(i).key());
            oldestPosition = oldestPosition.max(removals.get(i).position());
        }
    }

    /** Returns the position of the newest change of an item, the start when it is not known. */
    StorePosition positionOf(String key) {
        return lock.compute(() -> {
            StoreItem item = items.get(key);
            return item == null ? StorePosition.START : item.position();
        });
    }

    /**
     * Returns whether the history of changes after a position is still complete.
     *
     * @param after the position
     * @return false when a reader has to list all items again
     */
    public boolean hasHistoryAfter(StorePosition after) {
        return lock.compute(() -> {
            if (oldestPosition.isAfter(after)) {
                return false;
            }
            for (Gap gap : gaps) {
                if (gap.contains(after)) {
                    return false;
                }
            }
            return true;
        });
    }

    /**
     * Returns whether there are changes after a position.
     *
     * @param after the position
     * @return true when {@link #changesAfter} lists any item
     */
    public boolean hasChangesAfter(StorePosition after) {
        return lock.compute(() -> {
            if (!newestItemPosition.isAfter(after)) {
                return false;
            }
            for (StoreItem item : items.values()) {
                if (isReadableAfter(item, after)) {
                    return true;
                }
            }
            return false;
        });
    }

    /**
     * Lists the changes after a position.
     *
     * @param after the position
     * @param status status of this node's replica
     * @return changed and removed items in the order of their positions
     */
    public StorePage changesAfter(StorePosition after, RelayStatus status) {
        return lock.compute(() -> new StorePage(
                items.values().stream()
                        .filter(item -> isReadableAfter(item, after))
                        .sorted(BY_POSITION)
                        .toList(),
                position,
                false,
                status));
    }

    /** Returns whether an item is a change after a position; not while only a part of the next era is stored. */
    private boolean isReadableAfter(StoreItem item, StorePosition after) {
        return item.position().isAfter(after) && !item.position().isInLaterEra(position);
    }

    /**
     * Lists all items.
     *
     * @param status status of this node's replica
     * @return the items, without removed ones
     */
    public StorePage snapshot(RelayStatus status) {
        return lock.compute(() -> new StorePage(
                items.values().stream().filter(item -> !item.isRemoved()).toList(), position, false, status));
    }

    /** Part of the history between two positions, of which only the changes from start to end are known. */
    private record Gap(StorePosition start, StorePosition end) {
        boolean contains(StorePosition after) {
            return after.isAfter(start) && end.isAfter(after);
        }
    }
}
