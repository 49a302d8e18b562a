package org.turmericspan.feed;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.feed.StoreReader.Freshness;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.StorePosition;

/**
 * Reads besides the one that a feed has pending, which may wait for a source that does not respond. An unexpected
 * failure of one is logged and ends nothing else. Used by the worker of the feed.
 */
final class OutOfBandReads {
    private static final String PART = "store";

    private final StoreFeed feed;
    private final StoreReplica replica;
    private final StoreReader reader;
    private final ListPace pace;
    private final ChangeLimits limits;
    private final ScheduledExecutorService worker;
    private final RandomGenerator random;
    private final MonotonicClock clock;
    private final EventLog log;
    private boolean isListing;

    OutOfBandReads(
            StoreFeed feed,
            StoreReplica replica,
            StoreReader reader,
            ListPace pace,
            ChangeLimits limits,
            ScheduledExecutorService worker,
            MonotonicClock clock,
            RandomGenerator random,
            EventLog log) {
        this.feed = feed;
        this.replica = replica;
        this.reader = reader;
        this.pace = pace;
        this.limits = limits;
        this.worker = worker;
        this.random = random;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Reads the changes that a source has now.
     *
     * @param source the store, or a node that is ahead of this one
     * @param listener called on the worker with the result, after its changes were applied; a page that does not
     *     continue this node's position counts as compacted
     */
    void readChanges(StoreSource source, Consumer<StoreReadResult> listener) {
        feed.countCall(source);
        StorePosition after = feed.position();
        long sentNanos = clock.nowNanos();
        reader.watch(source, after, 0, result -> {
            if (result instanceof StoreReadResult.Page read) {
                StorePage page = read.page().olderBy(elapsedMillis(sentNanos));
                PageUse use = PageUse.of(source, after, page, feed.position());
                guarded(source, () -> apply(source, use, page));
                guarded(
                        source,
                        () -> listener.accept(
                                use == PageUse.LIST_NEEDED ? new StoreReadResult.RevisionCompacted() : result));
            } else {
                logFailure(source, result);
                guarded(source, () -> listener.accept(result));
            }
        });
    }

    private void apply(StoreSource source, PageUse use, StorePage page) {
        if (use == PageUse.CHANGES) {
            feed.applyOutOfBand(source, page);
        } else {
            log.write(Event.notice(PART, "Out-of-band read not applied.")
                    .with("source", source)
                    .with("reason", use)
                    .with("era", page.position().era())
                    .with("revision", page.position().revision()));
        }
    }

    /**
     * Lists all items of a source after a random delay, unless another node has done so and this one has read the
     * differences meanwhile. The delay is longer for a source that responds slowly, whose lists take as long.
     *
     * @param source the store, or a node that is ahead of this one, without the changes since this node's position
     * @param responseMillis time that the source took for its last response
     */
    void listUnlessOthersDo(StoreSource source, long responseMillis) {
        StorePosition position = feed.position();
        worker.schedule(
                () -> {
                    if (feed.position().equals(position)) {
                        list(source);
                    }
                },
                random.nextLong(limits.outOfBandListDelayMillis() + 2 * responseMillis + 1),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Lists all items of a source, unless another such list is being read or the last one was just before.
     *
     * @param source the store, or a node that is ahead of this one, without the changes since this node's revision
     * @return whether a list began
     */
    boolean list(StoreSource source) {
        if (!canList()) {
            return false;
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
        return true;
    }

    /**
     * Lists the items of a node that has gone through the restoration of the store, if the stale list with which this
     * node began may be of a time before it. Returns whether a list began.
     */
    boolean resolveDoubt(StoreSource node, long eraAgeMillis) {
        if (!replica.doubt().isJustified(eraAgeMillis) || !canList()) {
            return false;
        }
        replica.doubt().expectProof(node);
        return list(node);
    }

    private boolean canList() {
        return !isListing && pace.delayMillis() == 0;
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
                .with("era", feed.position().era())
                .with("revision", feed.position().revision())
                .with("confirmedAgeMs", feed.confirmedAgeMillis()));
    }
}
