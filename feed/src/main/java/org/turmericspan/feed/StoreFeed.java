package org.turmericspan.feed;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.balancing.Registration;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.feed.StoreReader.Freshness;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.UpstreamId;

/**
 * Follows the store: lists all items once, then watches for changes, and lists again after a compaction. Reads through
 * a relay as well as from the store, and tells how current its replica is, so that other nodes can read through it.
 */
public final class StoreFeed {
    /**
     * Delay after a watch that returned events, so that one read returns many of them; short compared with the agreed
     * limit of 2 s.
     */
    private static final long BATCH_DELAY_MILLIS = 500;
    /** Longest wait of a watch of the store; short enough to detect a dead connection within the required bounds. */
    private static final long STORE_WATCH_MILLIS = 600;
    /** Wait of a watch of the store without contact; none, so that a store that does not respond is noticed sooner. */
    private static final long STORE_PROBE_MILLIS = 0;
    /** Longest wait of a watch of another node; shorter, since that node may have failed and is quickly replaced. */
    private static final long RELAY_WATCH_MILLIS = 400;
    /**
     * Delay of the first watch of a node that has listed the store and knows no relay yet. Nodes that start together
     * find each other within it, and need not all watch the store.
     */
    private static final long FIRST_WATCH_DELAY_MILLIS = 400;
    /** Backoff after the first time that all sources failed; doubled after each further one. */
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    /** Limit of the backoff after successive failures. */
    private static final long MAX_BACKOFF_MILLIS = 400;
    /** Grace period after an outage in which upstreams whose registrations expired meanwhile may register again. */
    private static final long REREGISTRATION_GRACE_MILLIS = 2_000;
    /**
     * Shortest outage in which registrations can expire. A shorter one removes no upstream by itself, so no grace
     * period follows it.
     */
    private static final long MIN_EXPIRY_OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final String PART = "store";

    private final StoreReader reader;
    private final StoreItemDecoder decoder;
    private final StoreSourceSelector sourceSelector;
    private final FleetListener fleetListener;
    private final ScheduledExecutorService worker;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final EventLog log;
    private final Set<AvailabilityZoneId> evacuatedZones = new HashSet<>();
    private final Set<UpstreamId> pendingRemovals = new HashSet<>();
    private final Map<UpstreamId, Registration> registrations = new HashMap<>();
    private final StoreMirror mirror = new StoreMirror();
    private final StoreContact contact;
    private final MalformedItems malformedItems;
    private long revision;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private long lastResponseNanos;
    private long contactRestoredNanos;
    private StoreSource lastSource;
    private boolean isContactLost;
    private boolean isListStale;
    private Runnable changeListener = () -> {};
    private Runnable contactLostListener = () -> {};
    private volatile boolean complete;
    private volatile long calls;

    /**
     * Creates a feed that is not started yet.
     *
     * @param sourceSelector chooses between the store and the nodes that read it
     * @param reader reads from the chosen source
     * @param decoder decodes the items
     * @param listener receives the changes of the fleet, on the worker
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
            ScheduledExecutorService worker,
            MonotonicClock clock,
            RandomGenerator random,
            EventLog log) {
        this.reader = reader;
        this.decoder = decoder;
        this.sourceSelector = sourceSelector;
        this.fleetListener = listener;
        this.worker = worker;
        this.clock = clock;
        this.random = random;
        this.log = log;
        this.contact = new StoreContact(clock);
        this.malformedItems = new MalformedItems(log);
    }

    /** Starts to list all items and then to watch for changes. */
    public void start() {
        lastResponseNanos = clock.nowNanos();
        contactRestoredNanos = lastResponseNanos;
        worker.execute(this::listAll);
    }

    /**
     * Returns whether all items were listed at least once.
     *
     * @return true once the listener has received the whole fleet
     */
    public boolean isComplete() {
        return complete;
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
        return complete && contact.isCurrent(maxDistance);
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
     * Returns the local replica of the store, from which other nodes read.
     *
     * @return the replica, empty before all items were listed
     */
    public StoreMirror mirror() {
        return mirror;
    }

    private void listAll() {
        // A fleet that starts at once would read much; what has changed since comes with the first watch.
        isListStale = !complete;
        listPage("", new ArrayList<>(), Long.MAX_VALUE);
    }

    private StoreSource chooseSource() {
        StoreSource source = sourceSelector.select();
        if (source.isStore()) {
            calls++;
        }
        return source;
    }

    private void listPage(String after, List<StoreItem> items, long lowestRevision) {
        StoreSource source = chooseSource();
        Freshness freshness = isListStale ? Freshness.STALE_ALLOWED : Freshness.CURRENT;
        reader.range(source, after, freshness, guarded(result -> {
            if (!(result instanceof StoreReadResult.Page read)) {
                retryAfterFailure(source, SourceFailure.of(result), result, this::listAll);
                return;
            }
            if (!source.isStore() && read.page().revision() < revision) {
                // What changed in between would look removed, here and at the nodes that read from this one.
                retryAfterFailure(
                        source,
                        SourceFailure.REJECTED,
                        "revision " + read.page().revision(),
                        this::listAll);
                return;
            }
            recordResponse(source, read.page());
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

    private void completeList(StoreSource source, List<StoreItem> items, long watchRevision) {
        revision = watchRevision;
        mirror.beginReplacement();
        Set<UpstreamId> missing = new HashSet<>(registrations.keySet());
        registrations.clear();
        Set<AvailabilityZoneId> previousZones = Set.copyOf(evacuatedZones);
        evacuatedZones.clear();
        items.forEach(this::apply);
        mirror.completeReplacement(watchRevision);
        if (!previousZones.equals(evacuatedZones)) {
            fleetListener.onEvacuation(Set.copyOf(evacuatedZones));
        }
        missing.removeAll(registrations.keySet());
        missing.forEach(this::removeAfterGracePeriod);
        boolean isFirst = !complete;
        complete = true;
        advanceRevision(watchRevision);
        if (isFirst && source.isStore()) {
            worker.schedule(this::watch, FIRST_WATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            watch();
        }
    }

    private void watch() {
        StoreSource source = chooseSource();
        boolean isStore = source.isStore();
        long storeWatchMillis = contact.isCurrent(0) ? STORE_WATCH_MILLIS : STORE_PROBE_MILLIS;
        reader.watch(source, revision, isStore ? storeWatchMillis : RELAY_WATCH_MILLIS, guarded(result -> {
            if (result instanceof StoreReadResult.Page read) {
                recordResponse(source, read.page());
                read.page().items().forEach(this::apply);
                advanceRevision(read.page().revision());
                long delayMillis = isStore && !read.page().items().isEmpty() ? BATCH_DELAY_MILLIS : 0;
                worker.schedule(this::watch, delayMillis, TimeUnit.MILLISECONDS);
            } else if (result instanceof StoreReadResult.RevisionCompacted) {
                log.write(
                        Event.notice(PART, "Revision compacted, listing again.").with("revision", revision));
                listAll();
            } else {
                retryAfterFailure(source, SourceFailure.of(result), result, this::watch);
            }
        }));
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

    private void advanceRevision(long newRevision) {
        revision = Math.max(revision, newRevision);
        mirror.advance(revision);
        changeListener.run();
    }

    private void recordResponse(StoreSource source, StorePage page) {
        long nowNanos = clock.nowNanos();
        lastSource = source;
        contact.recordResponse(page.status());
        if (isContactLost) {
            log.write(Event.notice(PART, "Store contact restored, directly or through a store reader.")
                    .with("silentMs", TimeUnit.NANOSECONDS.toMillis(nowNanos - lastResponseNanos)));
            if (nowNanos - lastResponseNanos > MIN_EXPIRY_OUTAGE_NANOS) {
                contact.extendGracePeriod(REREGISTRATION_GRACE_MILLIS);
            }
            contactRestoredNanos = nowNanos;
        }
        isContactLost = false;
        lastResponseNanos = nowNanos;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
    }

    private void retryAfterFailure(StoreSource source, SourceFailure failure, Object reason, Runnable retry) {
        boolean isOtherDue = sourceSelector.reportFailure(source, failure);
        if (source.isStore()) {
            loseStoreContact(reason);
        } else {
            log.write(Event.notice(PART, "Read from store reader failed, choosing another source.")
                    .with("reader", source.address())
                    .with("reason", reason));
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
                    .with("revision", revision));
        }
    }

    private long nextBackoffMillis() {
        long delayMillis = backoffMillis / 2 + random.nextLong(backoffMillis / 2 + 1);
        backoffMillis = Math.min(backoffMillis * 2, MAX_BACKOFF_MILLIS);
        return delayMillis;
    }

    private void apply(StoreItem item) {
        try {
            apply(item, decoder.decode(item, clock.nowNanos()));
        } catch (IOException | RuntimeException e) {
            // One item must not end the feed, whatever is wrong with it.
            malformedItems.record(item, e);
        }
    }

    private void apply(StoreItem item, StoreUpdate update) {
        if (update instanceof StoreUpdate.Configuration published) {
            mirror.put(item, true);
            logConfiguration(published);
            fleetListener.onConfiguration(published.configuration());
        } else if (update instanceof StoreUpdate.Evacuation evacuation) {
            mirror.put(item, true);
            evacuate(evacuation);
        } else if (update instanceof StoreUpdate.Registered registered) {
            register(item, registered.registration());
        } else if (update instanceof StoreUpdate.Unregistered unregistered) {
            registrations.remove(unregistered.upstream());
            mirror.put(item, true);
            removeAfterGracePeriod(unregistered.upstream());
        }
    }

    private void logConfiguration(StoreUpdate.Configuration published) {
        RelayStatus status = contact.status();
        log.write(Event.notice(PART, "Configuration read.")
                .with("version", published.configuration().version())
                .with("source", lastSource)
                .with("distance", status.distance())
                .with("contactAgeMs", status.contactAgeMillis())
                .with("contactForMs", TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - contactRestoredNanos)));
    }

    private void evacuate(StoreUpdate.Evacuation evacuation) {
        boolean hasChanged = evacuation.isEvacuated()
                ? evacuatedZones.add(evacuation.zone())
                : evacuatedZones.remove(evacuation.zone());
        if (hasChanged) {
            fleetListener.onEvacuation(Set.copyOf(evacuatedZones));
        }
    }

    private void register(StoreItem item, Registration registration) {
        Registration previous = registrations.put(registration.id(), registration);
        mirror.put(item, previous == null || !registration.equalsIgnoringWarmUp(previous));
        pendingRemovals.remove(registration.id());
        fleetListener.onRegistration(registration);
    }

    /** Removes an upstream, after an outage only when the grace period ends without a new registration. */
    private void removeAfterGracePeriod(UpstreamId id) {
        long graceNanos = contact.remainingGraceNanos();
        if (graceNanos <= 0) {
            fleetListener.onRemoval(id);
            return;
        }
        pendingRemovals.add(id);
        worker.schedule(
                () -> {
                    if (pendingRemovals.remove(id)) {
                        fleetListener.onRemoval(id);
                    }
                },
                graceNanos,
                TimeUnit.NANOSECONDS);
    }
}
