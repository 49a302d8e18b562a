package org.turmericspan.feed;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.ids.MonotonicClock;

/**
 * Reads the store itself when nobody has confirmed this node's replica for too long, whatever the sources of the feed
 * do meanwhile. The nodes of a fleet ask in groups that double in size, since the store may reject some of them; once
 * all groups have failed, the whole fleet asks at a fixed rate. The load patterns are a reader that has lost the store
 * without noticing, relays that fail one after the other, and a store that is away.
 */
public final class StoreProbes {
    /** Nodes that ask in groups; the others only take part in the fixed rate. */
    private static final int MAX_GROUPED_NODES = 32;
    /** Average interval between the reads of a whole fleet that nobody confirms. */
    private static final long FLEET_INTERVAL_MILLIS = 100;
    /** Shortest interval between the reads of one node. */
    private static final long MIN_INTERVAL_MILLIS = 500;
    /** Time after a successful read for which a node asks in the first group. */
    private static final long SUCCESS_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final StoreFeed feed;
    private final StoreSource store;
    private final Supplier<FleetPosition> positions;
    private final ChangeLimits limits;
    private final ScheduledExecutorService worker;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final EventLog log;
    private boolean isPaused;
    private long pausedUntilNanos;
    private boolean hasSucceeded;
    private long lastSuccessNanos;

    /**
     * Creates probes that are not started yet.
     *
     * @param feed feed whose replica is to be confirmed
     * @param store the store
     * @param positions returns the current position of this node
     * @param limits limit of the whole path of a change
     * @param worker executor that runs the feed
     * @param clock monotonic clock
     * @param random source of the intervals of the fixed rate
     * @param log log for unexpected failures
     */
    public StoreProbes(
            StoreFeed feed,
            StoreSource store,
            Supplier<FleetPosition> positions,
            ChangeLimits limits,
            ScheduledExecutorService worker,
            MonotonicClock clock,
            RandomGenerator random,
            EventLog log) {
        this.feed = feed;
        this.store = store;
        this.positions = positions;
        this.limits = limits;
        this.worker = worker;
        this.clock = clock;
        this.random = random;
        this.log = log;
    }

    /** Starts to check the age of the last confirmation. */
    public void start() {
        checkAfter(limits.probeAgeMillis());
    }

    private void checkAfter(long delayMillis) {
        worker.schedule(this::check, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void check() {
        try {
            checkAfter(probeIfDue());
        } catch (RuntimeException e) {
            log.write(Event.failure("store", "Store not probed.").with("cause", e));
            checkAfter(limits.probeAgeMillis());
        }
    }

    /** Reads the store if it is time to; returns the time until the next check. */
    private long probeIfDue() {
        if (!feed.isComplete()) {
            return limits.probeAgeMillis();
        }
        long delayMillis = delayMillis(feed.confirmedAgeMillis());
        if (delayMillis > 0) {
            return delayMillis;
        }
        probe();
        return limits.probeStepMillis();
    }

    private void probe() {
        pause(positions.get().size());
        long sentNanos = clock.nowNanos();
        feed.outOfBandReads().readChanges(store, result -> {
            if (result instanceof StoreReadResult.Page) {
                hasSucceeded = true;
                lastSuccessNanos = clock.nowNanos();
            } else if (result instanceof StoreReadResult.RevisionCompacted) {
                long responseMillis = TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - sentNanos);
                feed.outOfBandReads().listUnlessOthersDo(store, responseMillis);
            }
        });
    }

    /** Returns the time until this node asks the store, unless a confirmation comes first; 0 or less when it is due. */
    private long delayMillis(long confirmedAgeMillis) {
        FleetPosition position = positions.get();
        boolean isPreferred = hasSucceeded && clock.nowNanos() - lastSuccessNanos < SUCCESS_MEMORY_NANOS;
        int rank = isPreferred ? 0 : position.rank();
        long dueMillis = limits.probeAgeMillis() + group(rank) * limits.probeStepMillis();
        if (confirmedAgeMillis < dueMillis) {
            isPaused = false;
            return dueMillis - confirmedAgeMillis;
        }
        if (!isPaused && rank >= MAX_GROUPED_NODES) {
            pause(position.size());
        }
        return isPaused ? TimeUnit.NANOSECONDS.toMillis(pausedUntilNanos - clock.nowNanos()) : 0;
    }

    /** Returns the group of a node: one node in the first, and each further one as large as all before it. */
    private static int group(int rank) {
        int last = Math.min(rank, MAX_GROUPED_NODES);
        return Integer.SIZE - Integer.numberOfLeadingZeros(last);
    }

    /** Delays the next read so that the fleet reads at its rate, from the first delay on, in no common rhythm. */
    private void pause(int fleetSize) {
        long delayMillis = MIN_INTERVAL_MILLIS + random.nextLong(2 * fleetSize * FLEET_INTERVAL_MILLIS);
        isPaused = true;
        pausedUntilNanos = clock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    }
}
