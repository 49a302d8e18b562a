package org.turmericspan.feed;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.feed.StoreReader.Freshness;
import org.turmericspan.gossip.ReplicaState;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.StorePosition;

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
    /** Sources that may have too short a history before a full list is read. */
    private static final int MAX_COMPACTED_SOURCES = 3;
    /** Backoff after the first time that all sources failed; doubled after each further one. */
    private static final long INITIAL_BACKOFF_MILLIS = 100;
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
    private final OutOfBandReads outOfBandReads;
    private final ListPace pace;
    private final ListLog lists;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private long lastResponseNanos;
    private boolean isContactLost;
    /** Sources in a row that did not have the changes after this node's revision. */
    private int compactedSources;

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
        this.pace = new ListPace(limits, clock);
        this.lists = new ListLog(log);
        this.outOfBandReads = new OutOfBandReads(this, replica, reader, pace, limits, worker, clock, random, log);
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
     * Returns the position up to which this node has every change of the store.
     *
     * @return position of the store, the start before all items were listed
     */
    public StorePosition position() {
        return replica.position();
    }

    /** Returns the position of the newest change that this node has; what the first list changed is not part of it. */
    StorePosition changePosition() {
        return replica.changePosition();
    }

    /** Returns the position of the first list, the start before it. */
    StorePosition listPosition() {
        return replica.listPosition();
    }

    /** Returns the version of the newest configuration that this node has, 0 before the first one. */
    long configurationVersion() {
        return replica.configurationVersion();
    }

    /**
     * Returns what this node tells others of its replica: nothing while it may be of a lost history. The age is that of
     * the last confirmation by a source that this node has read, so that it does not get younger on the way.
     *
     * @return the state as of now
     */
    public ReplicaState replicaState() {
        return isComplete() && !replica.doubt().isProvisional()
                ? new ReplicaState(
                        changePosition(),
                        listPosition(),
                        ownConfirmedAgeMillis(),
                        replica.configurationVersion(),
                        replica.eraAgeMillis())
                : ReplicaState.NONE;
    }

    /**
     * Returns how long ago the store confirmed, directly or through other nodes, that this node has every change; until
     * the first confirmation, the time since the start.
     *
     * @return age in milliseconds
     */
    public long confirmedAgeMillis() {
        return contact.confirmedAgeMillis();
    }

    /** Returns how long ago a source that this node has read confirmed that it has every change. */
    long ownConfirmedAgeMillis() {
        return contact.ownConfirmedAgeMillis();
    }

    /** Records that another node is current and has no change that this node does not have, if of the same history. */
    void confirm(long ageMillis) {
        if (!replica.doubt().isProvisional()) {
            contact.confirmByOther(ageMillis);
        }
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
     * Returns the full lists that this node has received.
     *
     * @return their counts
     */
    public ListLog lists() {
        return lists;
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
     * Returns the reads besides the one that this feed has pending.
     *
     * @return reads whose changes this feed applies
     */
    OutOfBandReads outOfBandReads() {
        return outOfBandReads;
    }

    /** Applies the changes of an out-of-band read. */
    void applyOutOfBand(StoreSource source, StorePage page) {
        if (source.isStore()) {
            recordResponse(page.status());
        }
        recordConfirmation(page.position(), page.status());
        boolean hasNews = applyChanges(source, page);
        // Others are about to read the store, too, since nobody has confirmed their replicas.
        if (hasNews || source.isStore()) {
            newsListener.accept(source);
        }
    }

    private long elapsedMillis(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - sinceNanos);
    }

    /** Lists all items. The first list may be stale; what has changed since comes with the first watch. */
    private void listAll() {
        long delayMillis = replica.isComplete() ? pace.delayMillis() : 0;
        if (delayMillis > 0) {
            worker.schedule(this::listAll, delayMillis, TimeUnit.MILLISECONDS);
            return;
        }
        StoreSource source = sourceSelector.select();
        Freshness freshness = replica.isComplete() ? Freshness.CURRENT : Freshness.STALE_ALLOWED;
        StorePosition sentPosition = replica.position();
        long sentNanos = clock.nowNanos();
        new ListRead(
                        reader,
                        source,
                        freshness,
                        () -> countCall(source),
                        guarded(list -> completeList(list, sentPosition, elapsedMillis(sentNanos))),
                        guarded(result -> retryAfterFailure(source, SourceFailure.of(result), result, this::listAll)))
                .start();
    }

    private void completeList(ListRead list, StorePosition sentPosition, long elapsedMillis) {
        boolean isFirst = !replica.isComplete();
        boolean isTaken = applyList(list, elapsedMillis);
        boolean isOvertaken = list.source().isStore() && !sentPosition.isAfter(list.lowestPosition());
        if (!isTaken && !isOvertaken) {
            // What changed in between would look removed, here and at the nodes that read from this one.
            retryAfterFailure(
                    list.source(), SourceFailure.REJECTED, "position " + list.lowestPosition(), this::listAll);
        } else if (isFirst && list.source().isStore()) {
            worker.schedule(this::watch, FIRST_WATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            watch();
        }
    }

    /** Applies a list, unless this node has all changes up to a later position; returns whether it was applied. */
    boolean applyList(ListRead list, long elapsedMillis) {
        boolean isTaken = replica.canTake(list);
        lists.record(list, isTaken, replica.position());
        pace.recordList();
        if (!isTaken) {
            return false;
        }
        RelayStatus status = list.status().olderBy(elapsedMillis);
        if (list.source().kind() != StoreSource.Kind.NODE_AHEAD) {
            recordResponse(list.isStale() ? status.olderBy(limits.staleListMillis()) : status);
        }
        boolean isFirst = !replica.isComplete();
        StorePosition previousChange = replica.changePosition();
        replica.replace(list);
        if (!list.isStale()) {
            recordConfirmation(list.lowestPosition(), status);
        }
        changeListener.run();
        if (!isFirst && replica.changePosition().isAfter(previousChange)) {
            newsListener.accept(list.source());
        }
        return true;
    }

    private StoreSource chooseSource() {
        StoreSource source = sourceSelector.select();
        countCall(source);
        return source;
    }

    /** Counts a read if it is one of the store. */
    void countCall(StoreSource source) {
        if (source.isStore()) {
            calls++;
        }
    }

    private void watch() {
        StoreSource source = chooseSource();
        boolean isStore = source.isStore();
        long storeWatchMillis = contact.isCurrent(0) ? limits.storeWatchMillis() : STORE_PROBE_MILLIS;
        long waitMillis = isStore ? storeWatchMillis : limits.relayWatchMillis();
        StorePosition after = replica.position();
        long sentNanos = clock.nowNanos();
        reader.watch(source, after, waitMillis, guarded(result -> {
            if (result instanceof StoreReadResult.Page read) {
                completeWatch(source, after, read.page().olderBy(elapsedMillis(sentNanos) - waitMillis));
            } else if (result instanceof StoreReadResult.RevisionCompacted) {
                recoverFromCompaction(source);
            } else {
                retryAfterFailure(source, SourceFailure.of(result), result, this::watch);
            }
        }));
    }

    private void completeWatch(StoreSource source, StorePosition after, StorePage page) {
        compactedSources = 0;
        switch (PageUse.of(source, after, page, replica.position())) {
            case CHANGES -> {
                pace.recordChanges();
                recordResponse(page.status());
                recordConfirmation(page.position(), page.status());
                if (applyChanges(source, page) && source.isStore()) {
                    newsListener.accept(source);
                }
                long delayMillis = source.isStore() && !page.items().isEmpty() ? limits.batchDelayMillis() : 0;
                worker.schedule(this::watch, delayMillis, TimeUnit.MILLISECONDS);
            }
            case OVERTAKEN -> worker.execute(this::watch);
            case EARLIER_ERA ->
                retryAfterFailure(source, SourceFailure.REJECTED, "earlier era " + page.position(), this::watch);
            default -> listAll();
        }
    }

    /**
     * Goes on when a source does not have the changes after this node's revision. A relay may have started later than
     * others; a full list is read only after the store, or some relays in turn, have responded so.
     */
    private void recoverFromCompaction(StoreSource source) {
        log.write(Event.notice(PART, "Revision compacted.")
                .with("source", source)
                .with("era", replica.position().era())
                .with("revision", replica.position().revision()));
        compactedSources++;
        boolean isRelayLeft = !source.isStore()
                && compactedSources < MAX_COMPACTED_SOURCES
                && sourceSelector.reportFailure(source, SourceFailure.REJECTED);
        if (isRelayLeft) {
            worker.execute(this::watch);
        } else {
            compactedSources = 0;
            listAll();
        }
    }

    /** Applies the changes of a page; returns whether there were any besides repeated registrations. */
    private boolean applyChanges(StoreSource source, StorePage page) {
        StorePosition previousChange = replica.changePosition();
        replica.apply(source, page);
        changeListener.run();
        return replica.changePosition().isAfter(previousChange);
    }

    /** Returns a listener after whose unexpected failure the feed goes on with a new list. */
    private <T> Consumer<T> guarded(Consumer<T> listener) {
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

    private void recordResponse(RelayStatus status) {
        contact.recordResponse(status);
        long nowNanos = clock.nowNanos();
        if (isContactLost) {
            log.write(Event.notice(PART, "Store contact restored, directly or through a store reader.")
                    .with("silentMs", TimeUnit.NANOSECONDS.toMillis(nowNanos - lastResponseNanos)));
            if (nowNanos - lastResponseNanos > MIN_EXPIRY_OUTAGE_NANOS) {
                contact.extendGracePeriod(StoreContact.REREGISTRATION_GRACE_MILLIS);
            }
            contact.restore();
        }
        isContactLost = false;
        lastResponseNanos = nowNanos;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
    }

    /** Records that a source is current, unless this node knows more than the source. */
    private void recordConfirmation(StorePosition sourcePosition, RelayStatus status) {
        if (!replica.position().isAfter(sourcePosition)) {
            contact.confirm(status.contactAgeMillis());
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
                    .with("era", replica.position().era())
                    .with("revision", replica.position().revision())
                    .with("confirmedAgeMs", contact.confirmedAgeMillis()));
        }
    }

    private long nextBackoffMillis() {
        long delayMillis = backoffMillis / 2 + random.nextLong(backoffMillis / 2 + 1);
        backoffMillis = Math.min(backoffMillis * 2, limits.maxBackoffMillis());
        return delayMillis;
    }
}
