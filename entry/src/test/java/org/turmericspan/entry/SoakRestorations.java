package org.turmericspan.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Draws series of restorations of the store from older copies, and carries them out. */
final class SoakRestorations {
    /** One in so many faults has a series of restorations beside it. */
    private static final int SERIES_ODDS = 8;

    private static final int MAX_SERIES = 3;
    private static final int MAX_COPY_AGE_MILLIS = 10_000;
    private static final int MAX_AWAY_MILLIS = 5_000;
    private static final int MAX_REWRITE_MILLIS = 2_000;
    private static final int MAX_PAUSE_MILLIS = 2_000;

    private final SoakFleet fleet;
    private final SplittableRandom random;
    private final AtomicBoolean isRunning = new AtomicBoolean();
    private final Queue<Period> periods = new ConcurrentLinkedQueue<>();

    /**
     * One restoration of the store.
     *
     * @param copyAgeMillis age of the copy when the store leaves
     * @param awayMillis time until the store is back
     * @param rewriteMillis time from then until the lost items are written again
     * @param pauseMillis time from then until the next restoration
     * @param losesHistory whether the store returns without a history
     */
    record Restoration(int copyAgeMillis, int awayMillis, int rewriteMillis, int pauseMillis, boolean losesHistory) {
        @Override
        public String toString() {
            return "store restored from a copy of " + copyAgeMillis + " ms" + (losesHistory ? " without history" : "")
                    + ", away " + awayMillis + " ms, lost items written after " + rewriteMillis + " ms";
        }
    }

    /** Time from the start of an absence until the lost items were written again. */
    private record Period(long startNanos, long endNanos) {}

    SoakRestorations(SoakFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    /** Draws a series of restorations, which is empty most times, and while another series runs. */
    List<Restoration> draw() {
        List<Restoration> series = new ArrayList<>();
        if (random.nextInt(SERIES_ODDS) == 0) {
            int count = 1 + random.nextInt(MAX_SERIES);
            for (int i = 0; i < count; i++) {
                series.add(new Restoration(
                        random.nextInt(MAX_COPY_AGE_MILLIS),
                        random.nextInt(MAX_AWAY_MILLIS),
                        random.nextInt(MAX_REWRITE_MILLIS),
                        random.nextInt(MAX_PAUSE_MILLIS),
                        random.nextBoolean()));
            }
        }
        return series.isEmpty() || !isRunning.compareAndSet(false, true) ? List.of() : series;
    }

    /** Carries out a series that was drawn; returns when the last lost items are written again. */
    void run(List<Restoration> series) throws InterruptedException {
        StoreStandIn store = fleet.platform().store();
        for (Restoration restoration : series) {
            long startNanos = System.nanoTime();
            store.leave();
            fleet.storePort().close();
            TimeUnit.MILLISECONDS.sleep(restoration.awayMillis());
            store.restore(startNanos - TimeUnit.MILLISECONDS.toNanos(restoration.copyAgeMillis()));
            if (restoration.losesHistory()) {
                store.discardHistory();
            }
            fleet.storePort().open();
            TimeUnit.MILLISECONDS.sleep(restoration.rewriteMillis());
            store.writeLostItems();
            periods.add(new Period(startNanos, System.nanoTime()));
            TimeUnit.MILLISECONDS.sleep(restoration.pauseMillis());
        }
        isRunning.set(false);
    }

    /**
     * Returns whether a change that was written at one time may be unknown at another: since the store lost it, or did
     * not accept it, and nodes had no time to learn of it before, or were interrupted meanwhile.
     *
     * @param writtenNanos time at which the change was written
     * @param atNanos the other time
     * @param limit time within which all nodes learn of a change
     * @param isInterrupted whether any node was started, stopped or suspended between the two times
     */
    boolean mayBeUnknown(long writtenNanos, long atNanos, Duration limit, boolean isInterrupted) {
        return periods.stream()
                .anyMatch(period -> period.startNanos() - atNanos <= 0
                        && atNanos - period.endNanos() <= limit.toNanos()
                        && (isInterrupted || period.startNanos() - writtenNanos <= limit.toNanos()));
    }
}
