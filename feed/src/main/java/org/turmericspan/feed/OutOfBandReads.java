package org.turmericspan.feed;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.feed.StoreReader.Freshness;
import org.turmericspan.ids.MonotonicClock;

/**
 * Reads besides the one that a feed has pending, which may wait for a source that does not respond. An unexpected
 * failure of one is logged and ends nothing else. Used by the worker of the feed.
 */
final class OutOfBandReads {
    private static final String PART = "store";

    private final StoreFeed feed;
    private final StoreReader reader;
    private final MonotonicClock clock;
    private final EventLog log;
    private boolean isListing;

    OutOfBandReads(StoreFeed feed, StoreReader reader, MonotonicClock clock, EventLog log) {
        this.feed = feed;
        this.reader = reader;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Reads the changes that a source has now.
     *
     * @param source the store, or a node that is ahead of this one
     * @param listener called on the worker with the result, after its changes were applied
     */
    void readChanges(StoreSource source, Consumer<StoreReadResult> listener) {
        feed.countCall(source);
        long sentNanos = clock.nowNanos();
        reader.watch(source, feed.revision(), 0, result -> {
            if (result instanceof StoreReadResult.Page read) {
                guarded(source, () -> feed.applyOutOfBand(source, read.page().olderBy(elapsedMillis(sentNanos))));
            } else {
                logFailure(source, result);
            }
            guarded(source, () -> listener.accept(result));
        });
    }

    /**
     * Lists all items of a source, unless another such list is being read.
     *
     * @param source the store, or a node that is ahead of this one, without the changes since this node's revision
     */
    void list(StoreSource source) {
        if (isListing) {
            return;
        }
        isListing = true;
        long sentNanos = clock.nowNanos();
        new ListRead(
                        reader,
                        source,
                        Freshness.CURRENT,
                        () -> feed.countCall(source),
                        list -> {
                            isListing = false;
                            guarded(source, () -> feed.applyList(list, elapsedMillis(sentNanos)));
                        },
                        result -> {
                            isListing = false;
                            logFailure(source, result);
                        })
                .start();
    }

    private long elapsedMillis(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - sinceNanos);
    }

    private void guarded(StoreSource source, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            log.write(Event.failure(PART, "Out-of-band read not applied.")
                    .with("source", source)
                    .with("cause", e));
        }
    }

    private void logFailure(StoreSource source, StoreReadResult result) {
        log.write(Event.notice(PART, "Out-of-band read failed.")
                .with("source", source)
                .with("reason", result)
                .with("revision", feed.revision())
                .with("confirmedAgeMs", feed.confirmedAgeMillis()));
    }
}
