package org.turmericspan.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.turmericspan.feed.StoreReader.Freshness;

/** Read of all items of one source, page by page. */
final class ListRead {
    private final StoreReader reader;
    private final StoreSource source;
    private final Freshness freshness;
    private final Runnable callCounter;
    private final Consumer<StoreReadResult> failureListener;
    private final Consumer<ListRead> listener;
    private final List<StoreItem> items = new ArrayList<>();
    private long lowestRevision = Long.MAX_VALUE;
    private long highestRevision;
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
        items.addAll(page.items());
        lowestRevision = Math.min(lowestRevision, page.revision());
        highestRevision = Math.max(highestRevision, page.revision());
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

    Freshness freshness() {
        return freshness;
    }

    List<StoreItem> items() {
        return items;
    }

    /** Returns the revision up to which the list has every change; the pages are not a consistent snapshot. */
    long lowestRevision() {
        return lowestRevision;
    }

    /** Returns the revision of the newest page. */
    long highestRevision() {
        return highestRevision;
    }

    /** Returns how current the source was. */
    RelayStatus status() {
        return status;
    }
}
