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
import java.util.random.RandomGenerator;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.balancing.Registration;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/** Follows the store: lists all items once, then watches for changes, and lists again after a compaction. */
public final class StoreFeed {
    /**
     * Delay after a watch that returned events, so that one read returns many of them; short compared with the agreed
     * limit of 2 s.
     */
    private static final long BATCH_DELAY_MILLIS = 500;
    /** Longest wait of a watch of the store; short enough to detect a dead connection within the required bounds. */
    private static final long STORE_WATCH_MILLIS = 900;
    /** Longest wait of a watch of another node; shorter, since that node may have failed and is quickly replaced. */
    private static final long RELAY_WATCH_MILLIS = 400;
    /**
     * Age of the last response of the store up to which this node counts as connected to it and may relay what it read.
     */
    private static final long STORE_CONTACT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);
    /** Backoff after the first failure; doubled after each further one. */
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    /** Limit of the backoff after successive failures. */
    private static final long MAX_BACKOFF_MILLIS = 800;
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
    private final SocketAddress storeAddress;
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
    private final Set<String> malformedKeys = new HashSet<>();
    private long revision;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private long lastResponseNanos;
    private long graceUntilNanos;
    private boolean isContactLost;
    private Runnable changeListener = () -> {};
    private volatile long lastStoreResponseNanos;
    private volatile boolean hasReachedStore;
    private volatile boolean complete;
    private volatile long calls;

    /**
     * Creates a feed that is not started yet.
     *
     * @param storeAddress address of the store
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
            SocketAddress storeAddress,
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
        this.storeAddress = storeAddress;
        this.sourceSelector = sourceSelector;
        this.fleetListener = listener;
        this.worker = worker;
        this.clock = clock;
        this.random = random;
        this.log = log;
        this.graceUntilNanos = clock.nowNanos();
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
     * Returns whether this node is connected to the store and has listed all items.
     *
     * @return true when the store itself has responded recently
     */
    public boolean hasStoreContact() {
        return hasReachedStore && complete && clock.nowNanos() - lastStoreResponseNanos < STORE_CONTACT_TIMEOUT_NANOS;
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
     * Returns the local replica of the store, from which other nodes read.
     *
     * @return the replica, empty before all items were listed
     */
    public StoreMirror mirror() {
        return mirror;
    }

    private void listAll() {
        listPage("", new ArrayList<>(), 0);
    }

    private SocketAddress chooseSource() {
        SocketAddress source = sourceSelector.select();
        if (source.equals(storeAddress)) {
            calls++;
        }
        return source;
    }

    private void listPage(String after, List<StoreItem> items, long firstRevision) {
        SocketAddress source = chooseSource();
        reader.range(source, after, result -> {
            if (!(result instanceof StoreReadResult.Page read)) {
                retryAfterFailure(source, result, this::listAll);
                return;
            }
            recordResponse(source);
            items.addAll(read.page().items());
            // The pages are not a consistent snapshot, so the watch starts at the revision of the first one.
            long watchRevision = after.isEmpty() ? read.page().revision() : firstRevision;
            if (read.page().isTruncated() && !read.page().items().isEmpty()) {
                listPage(items.get(items.size() - 1).key(), items, watchRevision);
            } else {
                completeList(items, watchRevision);
            }
        });
    }

    private void completeList(List<StoreItem> items, long watchRevision) {
        revision = watchRevision;
        mirror.clear(watchRevision);
        Set<UpstreamId> missing = new HashSet<>(registrations.keySet());
        registrations.clear();
        Set<AvailabilityZoneId> previousZones = Set.copyOf(evacuatedZones);
        evacuatedZones.clear();
        items.forEach(this::apply);
        if (!previousZones.equals(evacuatedZones)) {
            fleetListener.onEvacuation(Set.copyOf(evacuatedZones));
        }
        missing.removeAll(registrations.keySet());
        missing.forEach(this::removeAfterGracePeriod);
        complete = true;
        advanceRevision(watchRevision);
        watch();
    }

    private void watch() {
        SocketAddress source = chooseSource();
        boolean isStore = source.equals(storeAddress);
        reader.watch(source, revision, isStore ? STORE_WATCH_MILLIS : RELAY_WATCH_MILLIS, result -> {
            if (result instanceof StoreReadResult.Page read) {
                recordResponse(source);
                read.page().items().forEach(this::apply);
                advanceRevision(read.page().revision());
                long delayMillis = isStore && !read.page().items().isEmpty() ? BATCH_DELAY_MILLIS : 0;
                worker.schedule(this::watch, delayMillis, TimeUnit.MILLISECONDS);
            } else if (result instanceof StoreReadResult.RevisionCompacted) {
                log.write(
                        Event.notice(PART, "Revision compacted, listing again.").with("revision", revision));
                listAll();
            } else {
                retryAfterFailure(source, result, this::watch);
            }
        });
    }

    private void advanceRevision(long newRevision) {
        revision = Math.max(revision, newRevision);
        mirror.advance(revision);
        changeListener.run();
    }

    private void recordResponse(SocketAddress source) {
        long nowNanos = clock.nowNanos();
        if (source.equals(storeAddress)) {
            hasReachedStore = true;
            lastStoreResponseNanos = nowNanos;
        }
        if (isContactLost) {
            log.write(Event.notice(PART, "Store contact restored, directly or through a store reader.")
                    .with("silentMs", TimeUnit.NANOSECONDS.toMillis(nowNanos - lastResponseNanos)));
            if (nowNanos - lastResponseNanos > MIN_EXPIRY_OUTAGE_NANOS) {
                graceUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(REREGISTRATION_GRACE_MILLIS);
            }
        }
        isContactLost = false;
        lastResponseNanos = nowNanos;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
    }

    private void retryAfterFailure(SocketAddress source, StoreReadResult result, Runnable retry) {
        sourceSelector.reportFailure(source);
        if (!source.equals(storeAddress)) {
            log.write(Event.notice(PART, "Read from store reader failed, choosing another source.")
                    .with("reader", source)
                    .with("reason", result));
            worker.execute(retry);
            return;
        }
        if (!isContactLost) {
            isContactLost = true;
            log.write(Event.failure(PART, "Store contact lost.")
                    .with("reason", result)
                    .with("revision", revision));
        }
        long delayMillis = backoffMillis / 2 + random.nextLong(backoffMillis / 2 + 1);
        backoffMillis = Math.min(backoffMillis * 2, MAX_BACKOFF_MILLIS);
        worker.schedule(retry, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void apply(StoreItem item) {
        try {
            apply(item, decoder.decode(item, clock.nowNanos()));
        } catch (IOException e) {
            if (malformedKeys.add(item.key())) {
                log.write(Event.notice(PART, "Item malformed, ignored.")
                        .with("key", item.key())
                        .with("reason", e.getMessage()));
            }
        }
    }

    private void apply(StoreItem item, StoreUpdate update) {
        if (update instanceof StoreUpdate.Configuration published) {
            mirror.put(item, true);
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
        long nowNanos = clock.nowNanos();
        if (graceUntilNanos - nowNanos <= 0) {
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
                graceUntilNanos - nowNanos,
                TimeUnit.NANOSECONDS);
    }
}
