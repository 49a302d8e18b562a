package org.turmericspan.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.feed.StoreReader.Freshness;
import org.turmericspan.ids.MonotonicClock;

/**
 * Follows the store: lists all items once, then watches for changes, and lists again after a compaction. Reads through
 * a relay as well as from the store, and tells how current its replica is, so that other nodes can read through it.
 */
public final class StoreFeed {
    /** Wait of a watch of the store without contact; none, so that a store that does not respond is noticed sooner. */
    private static final long STORE_PROBE_MILLIS = 0;
    /**
     * Delay of the first watch of a node that has listed the store and knows no relay yet. Nodes that start together
     * find each other within it, and need not all watch the store.
     */
    private static final long FIRST_WATCH_DELAY_MILLIS = 400;
    /** Backoff after the first time that all sources failed; doubled after each further one. */
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    /** Grace period after an outage in which upstreams whose registrations expired meanwhile may register again. */
    private static final long REREGISTRATION_GRACE_MILLIS = 2_000;
    /**
     * Shortest outage in which registrations can expire. A shorter one removes no upstream by itself, so no grace
     * period follows it.
     */
    private static final long MIN_EXPIRY_OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final String PART = "store";

    private final StoreReader reader;
    private final StoreSourceSelector sourceSelector;
    private final ChangeLimits limits;
    private final ScheduledExecutorService worker;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final EventLog log;
    private final StoreContact contact;
    private final StoreReplica replica;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private long lastResponseNanos;
    private boolean isContactLost;
    private boolean isListStale;
    private Runnable changeListener = () -> {};
    private Runnable contactLostListener = () -> {};
    private Consumer<StoreSource> newsListener = source -> {};
    private volatile long calls;

    /**
     * Creates a feed that is not started yet.
     *
     * @param sourceSelector chooses between the store and the nodes that read it
     * @param reader reads from the chosen source
     * @param decoder decodes the items
     * @param listener receives the changes of the fleet, on the worker
     * @param limits limit of the whole path of a change
     * @param worker executor that runs the feed
     * @param clock monotonic clock
     * @param random source of the backoff jitter
     * @param log log for lost and restored contact and for malformed items
     */
    public StoreFeed(
            StoreSourceSelector sourceSelector,
            StoreReader reader,
            StoreItemDecoder decoder,
            FleetListener listener,
            ChangeLimits limits,
            ScheduledExecutorService worker,
            MonotonicClock clock,
            RandomGenerator random,
            EventLog log) {
        this.reader = reader;
        this.sourceSelector = sourceSelector;
        this.limits = limits;
        this.worker = worker;
        this.clock = clock;
        this.random = random;
        this.log = log;
        this.contact = new StoreContact(limits, clock);
        this.replica = new StoreReplica(decoder, listener, contact, worker, clock, log);
    }

    /** Starts to list all items and then to watch for changes. */
    public void start() {
        lastResponseNanos = clock.nowNanos();
        worker.execute(this::listAll);
    }

    /**
     * Returns whether all items were listed at least once.
     *
     * @return true once the listener has received the whole fleet
     */
    public boolean isComplete() {
        return replica.isComplete();
    }

    /**
     * Returns the revision up to which this node has every change of the store.
     *
     * @return revision of the store, 0 before all items were listed
     */
    public long revision() {
        return replica.revision();
    }

    /**
     * Returns the revision of the newest change that this node has.
     *
     * @return revision of the store, 0 when there is none
     */
    public long changeRevision() {
        return replica.changeRevision();
    }

    /**
     * Returns the revision of the last full list. What that list changed is not part of {@link #changeRevision}.
     *
     * @return revision of the store, 0 before all items were listed
     */
    public long listRevision() {
        return replica.listRevision();
    }

    /**
     * Returns how long ago the store confirmed, directly or through other nodes, that this node has every change.
     *
     * @return age in milliseconds; since the start of this node when there was no confirmation
     */
    public long confirmedAgeMillis() {
        return contact.confirmedAgeMillis();
    }

    /** Records that this node has every change that the store had some time ago. */
    void confirm(long ageMillis) {
        contact.confirm(ageMillis);
    }

    /**
     * Returns the number of reads that this node has sent to the store itself.
     *
     * @return number of reads, without those sent to other nodes
     */
    public long calls() {
        return calls;
    }

    /**
     * Returns whether this node reads the store itself, has listed all items and got a response lately.
     *
     * @return true when other nodes can read through this one without a further node between
     */
    public boolean hasStoreContact() {
        return canRelay(0);
    }

    /**
     * Returns whether this node's replica is current, read through a limited number of other nodes.
     *
     * @param maxDistance greatest number of other nodes through which this node may read the store
     * @return true when the store has responded lately to the node that reads it
     */
    public boolean canRelay(int maxDistance) {
        return replica.isComplete() && contact.isCurrent(maxDistance);
    }

    /**
     * Returns how current this node's replica is.
     *
     * @return the status to send with what this node relays
     */
    public RelayStatus status() {
        return contact.status();
    }

    /**
     * Sets the listener to notify after each successful list or watch, with or without changes.
     *
     * @param listener called on the worker
     */
    public void onChange(Runnable listener) {
        changeListener = listener;
    }

    /**
     * Sets the listener to notify when this node, after reading the store itself, has lost contact with it.
     *
     * @param listener called on the worker
     */
    public void onContactLost(Runnable listener) {
        contactLostListener = listener;
    }

    /**
     * Sets the listener to notify of changes that other nodes may not have yet: those that this node has read from the
     * store itself, or from a node that was ahead of it.
     *
     * @param listener called on the worker with the source of the changes
     */
    public void onNews(Consumer<StoreSource> listener) {
        newsListener = listener;
    }

    /**
     * Returns the local replica of the store, from which other nodes read.
     *
     * @return the replica, empty before all items were listed
     */
    public StoreMirror mirror() {
        return replica.mirror();
    }

    /**
     * Reads the changes that a source has now, beside the reads of this feed.
     *
     * @param source the store, or a node that is ahead of this one
     * @param listener called on the worker with whether the source responded with its changes
     */
    void readOnce(StoreSource source, Consumer<Boolean> listener) {
        countCall(source);
        reader.watch(source, replica.revision(), 0, result -> {
            boolean succeeded = result instanceof StoreReadResult.Page;
            if (result instanceof StoreReadResult.Page read) {
                applyReadBeside(source, read.page());
            } else {
                log.write(Event.notice(PART, "Read beside the feed failed.")
                        .with("source", source)
                        .with("reason", result)
                        .with("confirmedAgeMs", contact.confirmedAgeMillis()));
            }
            listener.accept(succeeded);
        });
    }

    private void applyReadBeside(StoreSource source, StorePage page) {
        try {
            if (source.isStore()) {
                recordResponse(page);
            }
            recordConfirmation(page);
            boolean hasNews = applyChanges(source, page);
            // Others are about to read the store, too, since nobody has confirmed their replicas.
            if (hasNews || source.isStore()) {
                newsListener.accept(source);
            }
        } catch (RuntimeException e) {
            log.write(Event.failure(PART, "Read beside the feed not applied.")
                    .with("source", source)
                    .with("cause", e));
        }
    }

    private void listAll() {
        // A fleet that starts at once would read much; what has changed since comes with the first watch.
        isListStale = !replica.isComplete();
        listPage("", new ArrayList<>(), Long.MAX_VALUE);
    }

    private StoreSource chooseSource() {
        StoreSource source = sourceSelector.select();
        countCall(source);
        return source;
    }

    private void countCall(StoreSource source) {
        if (source.isStore()) {
            calls++;
        }
    }

    private void listPage(String after, List<StoreItem> items, long lowestRevision) {
        StoreSource source = chooseSource();
        Freshness freshness = isListStale ? Freshness.STALE_ALLOWED : Freshness.CURRENT;
        reader.range(source, after, freshness, guarded(result -> {
            if (!(result instanceof StoreReadResult.Page read)) {
                retryAfterFailure(source, SourceFailure.of(result), result, this::listAll);
                return;
            }
            if (!source.isStore() && read.page().revision() < replica.revision()) {
                // What changed in between would look removed, here and at the nodes that read from this one.
                retryAfterFailure(
                        source,
                        SourceFailure.REJECTED,
                        "revision " + read.page().revision(),
                        this::listAll);
                return;
            }
            recordResponse(read.page());
            if (freshness == Freshness.CURRENT) {
                recordConfirmation(read.page());
            }
            items.addAll(read.page().items());
            // The pages are not a consistent snapshot, so the watch starts at the lowest of their revisions.
            long watchRevision = Math.min(lowestRevision, read.page().revision());
            if (read.page().isTruncated() && !read.page().items().isEmpty()) {
                listPage(items.get(items.size() - 1).key(), items, watchRevision);
            } else {
                completeList(source, items, watchRevision);
            }
        }));
    }

    private void completeList(StoreSource source, List<StoreItem> items, long listRevision) {
        boolean isFirst = !replica.isComplete();
        // A node that was ahead may have delivered all changes up to a later revision meanwhile.
        if (isFirst || listRevision >= replica.revision()) {
            replica.replace(source, items, listRevision);
            changeListener.run();
        }
        if (isFirst && source.isStore()) {
            worker.schedule(this::watch, FIRST_WATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            watch();
        }
    }

    private void watch() {
        StoreSource source = chooseSource();
        boolean isStore = source.isStore();
        long storeWatchMillis = contact.isCurrent(0) ? limits.storeWatchMillis() : STORE_PROBE_MILLIS;
        long waitMillis = isStore ? storeWatchMillis : limits.relayWatchMillis();
        reader.watch(source, replica.revision(), waitMillis, guarded(result -> {
            if (result instanceof StoreReadResult.Page read) {
                recordResponse(read.page());
                recordConfirmation(read.page());
                if (applyChanges(source, read.page()) && isStore) {
                    newsListener.accept(source);
                }
                long delayMillis = isStore && !read.page().items().isEmpty() ? limits.batchDelayMillis() : 0;
                worker.schedule(this::watch, delayMillis, TimeUnit.MILLISECONDS);
            } else if (result instanceof StoreReadResult.RevisionCompacted) {
                log.write(Event.notice(PART, "Revision compacted, listing again.")
                        .with("revision", replica.revision()));
                listAll();
            } else {
                retryAfterFailure(source, SourceFailure.of(result), result, this::watch);
            }
        }));
    }

    /** Applies the changes of a page; returns whether there were any besides repeated registrations. */
    private boolean applyChanges(StoreSource source, StorePage page) {
        long previousRevision = replica.changeRevision();
        replica.apply(source, page);
        changeListener.run();
        return replica.changeRevision() > previousRevision;
    }

    /** Returns a listener after whose unexpected failure the feed goes on with a new list. */
    private Consumer<StoreReadResult> guarded(Consumer<StoreReadResult> listener) {
        return result -> {
            try {
                listener.accept(result);
            } catch (RuntimeException e) {
                log.write(
                        Event.failure(PART, "Read not applied, listing again.").with("cause", e));
                worker.schedule(this::listAll, nextBackoffMillis(), TimeUnit.MILLISECONDS);
            }
        };
    }

    private void recordResponse(StorePage page) {
        long nowNanos = clock.nowNanos();
        contact.recordResponse(page.status());
        if (isContactLost) {
            log.write(Event.notice(PART, "Store contact restored, directly or through a store reader.")
                    .with("silentMs", TimeUnit.NANOSECONDS.toMillis(nowNanos - lastResponseNanos)));
            if (nowNanos - lastResponseNanos > MIN_EXPIRY_OUTAGE_NANOS) {
                contact.extendGracePeriod(REREGISTRATION_GRACE_MILLIS);
            }
            contact.restore();
        }
        isContactLost = false;
        lastResponseNanos = nowNanos;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
    }

    /** Records that a source is current, unless this node knows more than the source. */
    private void recordConfirmation(StorePage page) {
        if (page.revision() >= replica.revision()) {
            contact.confirm(page.status().contactAgeMillis());
        }
    }

    private void retryAfterFailure(StoreSource source, SourceFailure failure, Object reason, Runnable retry) {
        boolean isOtherDue = sourceSelector.reportFailure(source, failure);
        if (source.isStore()) {
            loseStoreContact(reason);
        } else {
            log.write(Event.notice(PART, "Read from store reader failed, choosing another source.")
                    .with("reader", source.address())
                    .with("reason", reason)
                    .with("confirmedAgeMs", contact.confirmedAgeMillis()));
        }
        if (isOtherDue) {
            worker.execute(retry);
        } else {
            isContactLost = true;
            worker.schedule(retry, nextBackoffMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private void loseStoreContact(Object reason) {
        if (contact.lose()) {
            contactLostListener.run();
        }
        if (!isContactLost) {
            isContactLost = true;
            log.write(Event.failure(PART, "Store contact lost.")
                    .with("reason", reason)
                    .with("revision", replica.revision())
                    .with("confirmedAgeMs", contact.confirmedAgeMillis()));
        }
    }

    private long nextBackoffMillis() {
        long delayMillis = backoffMillis / 2 + random.nextLong(backoffMillis / 2 + 1);
        backoffMillis = Math.min(backoffMillis * 2, limits.maxBackoffMillis());
        return delayMillis;
    }
}
