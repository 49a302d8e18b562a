package org.turmericspan.feed;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The time within which a confirmed change of the store has to be in force on each node, and the waits and timeouts of
 * the reads that bring it there, each a share of it. When no source responds, the share until the first node asks the
 * store by itself and the steps until the last group has asked are 73%; the rest is for the response and the way from
 * node to node.
 *
 * @param limit time from the confirmation of a change until it is in force on each node
 */
public record ChangeLimits(Duration limit) {
    private static final int PERCENT = 100;
    /** Delay after a watch that returned events, so that one read returns many of them. */
    private static final int BATCH_DELAY_PERCENT = 25;
    /** Longest wait of a watch of the store. */
    private static final int STORE_WATCH_PERCENT = 30;
    /** Longest wait of a watch of another node; shorter, since that node may have failed and is quickly replaced. */
    private static final int RELAY_WATCH_PERCENT = 20;
    /** Time for a response beyond the wait that was asked for. */
    private static final int RESPONSE_PERCENT = 30;
    /** Time for a connection to be established. */
    private static final int CONNECT_PERCENT = 25;
    /** Longest delay after all sources failed. */
    private static final int BACKOFF_PERCENT = 20;
    /** Age of the last confirmation up to which other nodes may read from a replica as from the store. */
    private static final int CURRENCY_PERCENT = 80;
    /** Age of the last confirmation at which the first nodes ask the store by themselves. */
    private static final int PROBE_AGE_PERCENT = 55;
    /** Interval between the groups of nodes that ask the store by themselves. */
    private static final int PROBE_STEP_PERCENT = 3;
    /** Time that a message of another node may have been on its way. */
    private static final int MESSAGE_PERCENT = 2;
    /** Time for which a node that learns of a change waits for it from its source. */
    private static final int CATCH_UP_DELAY_PERCENT = 5;

    /** Age that others take a list for which may be stale, until it is watched; nobody is confirmed by it. */
    private static final int STALE_LIST_PERCENT = 50;

    /** Shortest pause between two lists by which a node recovers. */
    private static final int MIN_LIST_PAUSE_PERCENT = 5;
    /** Longest one; below the age at which other nodes ask the store, so that the lists of one node confirm them. */
    private static final int MAX_LIST_PAUSE_PERCENT = 40;
    /** Longest delay of an out-of-band list, in which another node may have read one. */
    private static final int OUT_OF_BAND_LIST_DELAY_PERCENT = 10;

    /**
     * Returns the limit itself.
     *
     * @return time within which a confirmed change is in force on each node
     */
    public long changeLimitMillis() {
        return limit.toMillis();
    }

    private long millis(int percent) {
        return limit.toMillis() * percent / PERCENT;
    }

    long batchDelayMillis() {
        return millis(BATCH_DELAY_PERCENT);
    }

    long storeWatchMillis() {
        return millis(STORE_WATCH_PERCENT);
    }

    long relayWatchMillis() {
        return millis(RELAY_WATCH_PERCENT);
    }

    long maxBackoffMillis() {
        return millis(BACKOFF_PERCENT);
    }

    long currencyNanos() {
        return TimeUnit.MILLISECONDS.toNanos(millis(CURRENCY_PERCENT));
    }

    long probeAgeMillis() {
        return millis(PROBE_AGE_PERCENT);
    }

    long probeStepMillis() {
        return millis(PROBE_STEP_PERCENT);
    }

    long staleListMillis() {
        return millis(STALE_LIST_PERCENT);
    }

    long minListPauseMillis() {
        return millis(MIN_LIST_PAUSE_PERCENT);
    }

    long maxListPauseMillis() {
        return millis(MAX_LIST_PAUSE_PERCENT);
    }

    long outOfBandListDelayMillis() {
        return millis(OUT_OF_BAND_LIST_DELAY_PERCENT);
    }

    long messageMillis() {
        return millis(MESSAGE_PERCENT);
    }

    long catchUpDelayMillis() {
        return millis(CATCH_UP_DELAY_PERCENT);
    }

    /**
     * Returns the timeout of a read, on top of the time that the source is asked to wait.
     *
     * @return timeout in milliseconds
     */
    public long responseMillis() {
        return millis(RESPONSE_PERCENT);
    }

    /**
     * Returns the timeout of establishing a connection to a source.
     *
     * @return timeout in milliseconds
     */
    public long connectMillis() {
        return millis(CONNECT_PERCENT);
    }
}
