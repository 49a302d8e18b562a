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

/** Follows the store: reads everything once, then watches, and starts anew when the history is gone. */
public final class StoreFeed {
    /** Pause after a watch that brought events, so that one read gathers many; small beside the agreed two seconds. */
    private static final long GATHER_MILLIS = 500;
    /** Longest wait of a watch; short enough that a silent connection is noticed within the agreed bounds. */
    private static final long WATCH_MILLIS = 900;
    /** The same for a read from another node, which may be gone and is quickly replaced. */
    private static final long RELAY_WATCH_MILLIS = 400;
    /** Age of the last answer of the store up to which this node may pass on what it read. */
    private static final long DIRECT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);
    /** First pause after a failure; it doubles up to the longest. */
    private static final long FIRST_BACKOFF_MILLIS = 100;
    /** Longest pause after failures in a row. */
    private static final long LONGEST_BACKOFF_MILLIS = 800;
    /** Time after an outage in which servers whose entries lapsed meanwhile may register again. */
    private static final long LAPSE_MILLIS = 2_000;
    /** Length of an outage in which entries can lapse; shorter ones remove nothing by themselves. */
    private static final long OUTAGE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final String PART = "store";

    private final StoreReader reader;
    private final PublicationDecoder decoder;
    private final SocketAddress store;
    private final StoreSourceSelector sourceSelector;
    private final FleetListener sink;
    private final ScheduledExecutorService worker;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final EventLog log;
    private final Set<AvailabilityZoneId> evacuated = new HashSet<>();
    private final Set<UpstreamId> lapsed = new HashSet<>();
    private final Map<UpstreamId, Registration> registrations = new HashMap<>();
    private final StoreMirror mirror = new StoreMirror();
    private final Set<String> unreadable = new HashSet<>();
    private long revision;
    private long backoffMillis = FIRST_BACKOFF_MILLIS;
    private long lastAnswerNanos;
    private long lapseUntilNanos;
    private boolean lost;
    private Runnable changeListener = () -> {};
    private volatile long directNanos;
    private volatile boolean hasBeenDirect;
    private volatile boolean complete;
    private volatile long calls;

    /**
     * Creates a feed that has not begun.
     *
     * @param store where the store listens
     * @param sourceSelector chooses between the store and nodes that read it
     * @param reader reads the sources
     * @param decoder tells what items say
     * @param listener takes what was published, on the worker
     * @param worker runs the feed
     * @param clock monotonic time
     * @param random spreads pauses
     * @param log takes lost and regained contact and garbage
     */
    public StoreFeed(
            SocketAddress store,
            StoreSourceSelector sourceSelector,
            StoreReader reader,
            PublicationDecoder decoder,
            FleetListener listener,
            ScheduledExecutorService worker,
            MonotonicClock clock,
            RandomGenerator random,
            EventLog log) {
        this.reader = reader;
        this.decoder = decoder;
        this.store = store;
        this.sourceSelector = sourceSelector;
        this.sink = listener;
        this.worker = worker;
        this.clock = clock;
        this.random = random;
        this.log = log;
        this.lapseUntilNanos = clock.nowNanos();
    }

    /** Starts following. */
    public void start() {
        lastAnswerNanos = clock.nowNanos();
        worker.execute(this::load);
    }

    /**
     * Tells whether everything was read at least once.
     *
     * @return whether the sink knows the fleet
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Counts the calls made so far.
     *
     * @return the count
     */
    public long calls() {
        return calls;
    }

    /**
     * Tells whether this node has contact with the store itself.
     *
     * @return whether the store answered lately
     */
    public boolean hasStoreContact() {
        return hasBeenDirect && complete && clock.nowNanos() - directNanos < DIRECT_NANOS;
    }

    /**
     * Registers what happens after changes were read.
     *
     * @param listener runs on the worker
     */
    public void onChange(Runnable listener) {
        changeListener = listener;
    }

    /**
     * Returns what was read, for nodes that read from this one.
     *
     * @return the mirror
     */
    public StoreMirror mirror() {
        return mirror;
    }

    private void load() {
        loadPage("", new ArrayList<>(), 0);
    }

    private SocketAddress chooseSource() {
        SocketAddress source = sourceSelector.select();
        if (source.equals(store)) {
            calls++;
        }
        return source;
    }

    private void loadPage(String after, List<StoreItem> items, long firstRevision) {
        SocketAddress source = chooseSource();
        reader.range(source, after, result -> {
            if (!(result instanceof StoreReadResult.Page read)) {
                retryLater(source, result, this::load);
                return;
            }
            answered(source);
            items.addAll(read.page().items());
            // Pages are no snapshot, so the watch begins at the first of them.
            long begin = after.isEmpty() ? read.page().revision() : firstRevision;
            if (read.page().isTruncated() && !read.page().items().isEmpty()) {
                loadPage(items.get(items.size() - 1).key(), items, begin);
            } else {
                loaded(items, begin);
            }
        });
    }

    private void loaded(List<StoreItem> items, long begin) {
        revision = begin;
        mirror.clear(begin);
        Set<UpstreamId> old = new HashSet<>(registrations.keySet());
        registrations.clear();
        Set<AvailabilityZoneId> oldZones = Set.copyOf(evacuated);
        evacuated.clear();
        items.forEach(this::apply);
        if (!oldZones.equals(evacuated)) {
            sink.onEvacuation(Set.copyOf(evacuated));
        }
        old.removeAll(registrations.keySet());
        old.forEach(this::remove);
        complete = true;
        advance(begin);
        watch();
    }

    private void watch() {
        SocketAddress source = chooseSource();
        boolean fromStore = source.equals(store);
        reader.watch(source, revision, fromStore ? WATCH_MILLIS : RELAY_WATCH_MILLIS, result -> {
            if (result instanceof StoreReadResult.Page read) {
                answered(source);
                read.page().items().forEach(this::apply);
                advance(read.page().revision());
                long pauseMillis = fromStore && !read.page().items().isEmpty() ? GATHER_MILLIS : 0;
                worker.schedule(this::watch, pauseMillis, TimeUnit.MILLISECONDS);
            } else if (result instanceof StoreReadResult.RevisionCompacted) {
                log.write(Event.notice(PART, "History gone, reading anew.").with("revision", revision));
                load();
            } else {
                retryLater(source, result, this::watch);
            }
        });
    }

    private void advance(long to) {
        revision = Math.max(revision, to);
        mirror.advance(revision);
        changeListener.run();
    }

    private void answered(SocketAddress source) {
        long now = clock.nowNanos();
        if (source.equals(store)) {
            hasBeenDirect = true;
            directNanos = now;
        }
        if (lost) {
            log.write(Event.notice(PART, "Contact regained.")
                    .with("silentMs", TimeUnit.NANOSECONDS.toMillis(now - lastAnswerNanos)));
            if (now - lastAnswerNanos > OUTAGE_NANOS) {
                lapseUntilNanos = now + TimeUnit.MILLISECONDS.toNanos(LAPSE_MILLIS);
            }
        }
        lost = false;
        lastAnswerNanos = now;
        backoffMillis = FIRST_BACKOFF_MILLIS;
    }

    private void retryLater(SocketAddress source, StoreReadResult result, Runnable step) {
        sourceSelector.reportFailure(source);
        if (!source.equals(store)) {
            log.write(Event.notice(PART, "Reader gave no answer.")
                    .with("reader", source)
                    .with("reason", result));
            worker.execute(step);
            return;
        }
        if (!lost) {
            lost = true;
            log.write(
                    Event.failure(PART, "Contact lost.").with("reason", result).with("revision", revision));
        }
        long pauseMillis = backoffMillis / 2 + random.nextLong(backoffMillis / 2 + 1);
        backoffMillis = Math.min(backoffMillis * 2, LONGEST_BACKOFF_MILLIS);
        worker.schedule(step, pauseMillis, TimeUnit.MILLISECONDS);
    }

    private void apply(StoreItem item) {
        try {
            apply(item, decoder.decode(item, clock.nowNanos()));
        } catch (IOException e) {
            if (unreadable.add(item.key())) {
                log.write(Event.notice(PART, "Item not readable, ignored.")
                        .with("key", item.key())
                        .with("reason", e.getMessage()));
            }
        }
    }

    private void apply(StoreItem item, StoreUpdate update) {
        if (update instanceof StoreUpdate.Configuration next) {
            mirror.put(item, true);
            sink.onConfiguration(next.configuration());
        } else if (update instanceof StoreUpdate.Evacuation evacuation) {
            mirror.put(item, true);
            evacuate(evacuation);
        } else if (update instanceof StoreUpdate.Registered registered) {
            register(item, registered.registration());
        } else if (update instanceof StoreUpdate.Unregistered gone) {
            registrations.remove(gone.upstream());
            mirror.put(item, true);
            remove(gone.upstream());
        }
    }

    private void evacuate(StoreUpdate.Evacuation evacuation) {
        boolean changed =
                evacuation.isEvacuated() ? evacuated.add(evacuation.zone()) : evacuated.remove(evacuation.zone());
        if (changed) {
            sink.onEvacuation(Set.copyOf(evacuated));
        }
    }

    private void register(StoreItem item, Registration registration) {
        Registration old = registrations.put(registration.id(), registration);
        mirror.put(item, old == null || !registration.equalsIgnoringWarmUp(old));
        lapsed.remove(registration.id());
        sink.onRegistration(registration);
    }

    /** Removes a server, but after an outage only when it has not registered again within the agreed time. */
    private void remove(UpstreamId id) {
        long now = clock.nowNanos();
        if (lapseUntilNanos - now <= 0) {
            sink.onRemoval(id);
            return;
        }
        lapsed.add(id);
        worker.schedule(
                () -> {
                    if (lapsed.remove(id)) {
                        sink.onRemoval(id);
                    }
                },
                lapseUntilNanos - now,
                TimeUnit.NANOSECONDS);
    }
}
