package org.turmericspan.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.turmericspan.feed.StoreReader.Freshness;
import org.turmericspan.ids.StorePosition;

/** Read of all items of one source, page by page. */
final class ListRead {
    private final StoreReader reader;
    private final StoreSource source;
    private final Freshness freshness;
    private final Runnable callCounter;
    private final Consumer<StoreReadResult> failureListener;
    private final Consumer<ListRead> listener;
    private final List<StoreItem> items = new ArrayList<>();
    private StorePosition lowest;
    private StorePosition highest;
    private RelayStatus status = RelayStatus.STORE;

    /**
     * Creates a read that is not started yet.
     *
     * @param reader reads the pages
     * @param source the source
     * @param freshness whether items may be seconds old
     * @param callCounter called before each page
     * @param listener called with this read when it is complete
     * @param failureListener called with the result of a page that failed, which ends the read
     */
    ListRead(
            StoreReader reader,
            StoreSource source,
            Freshness freshness,
            Runnable callCounter,
            Consumer<ListRead> listener,
            Consumer<StoreReadResult> failureListener) {
        this.reader = reader;
        this.source = source;
        this.freshness = freshness;
        this.callCounter = callCounter;
        this.listener = listener;
        this.failureListener = failureListener;
    }

    /** Starts with the first page. */
    void start() {
        readPage("");
    }

    private void readPage(String after) {
        callCounter.run();
        reader.range(source, after, freshness, result -> {
            if (result instanceof StoreReadResult.Page read) {
                add(read.page());
            } else {
                failureListener.accept(result);
            }
        });
    }

    private void add(StorePage page) {
        if (lowest != null && page.position().era() != lowest.era()) {
            failureListener.accept(new StoreReadResult.Failed("store restored between two pages"));
            return;
        }
        items.addAll(page.items());
        lowest = lowest == null ? page.position() : lowest.min(page.position());
        highest = highest == null ? page.position() : highest.max(page.position());
        status = page.status();
        if (page.isTruncated() && !page.items().isEmpty()) {
            readPage(items.get(items.size() - 1).key());
        } else {
            listener.accept(this);
        }
    }

    StoreSource source() {
        return source;
    }

    List<StoreItem> items() {
        return items;
    }

    /** Returns the position up to which the list has every change; the pages are not a consistent snapshot. */
    StorePosition lowestPosition() {
        return lowest;
    }

    /** Returns the position of the newest page. */
    StorePosition highestPosition() {
        return highest;
    }

    /** Returns whether the items may be seconds old. */
    boolean isStale() {
        return source.isStore() && freshness == Freshness.STALE_ALLOWED;
    }

    /** Returns how current the source was. */
    RelayStatus status() {
        return status;
    }
}
