package org.turmericspan.peer;

import java.time.Duration;

/**
 * Decides when a connection is pinged and when it is closed because nothing is received. A connection is checked only
 * while data is expected on it: after a write, until everything due has been received.
 */
final class KeepaliveMonitor {
    static final Duration PING_AFTER = Duration.ofSeconds(1);
    static final Duration CLOSE_AFTER = Duration.ofSeconds(3);

    private boolean readExpected;
    private boolean pinged;
    private long silentSinceNanos;

    /** Action to take on the connection. */
    enum Action {
        /** Nothing. */
        NONE,
        /** Send a ping. */
        PING,
        /** Close the connection. */
        CLOSE
    }

    /**
     * Records that something was written.
     *
     * @param nowNanos monotonic time
     */
    void onWrite(long nowNanos) {
        if (!readExpected) {
            readExpected = true;
            pinged = false;
            silentSinceNanos = nowNanos;
        }
    }

    /**
     * Records that something was read.
     *
     * @param nowNanos monotonic time
     * @param repliesPending whether replies are still pending
     */
    void onRead(long nowNanos, boolean repliesPending) {
        readExpected = repliesPending;
        pinged = false;
        silentSinceNanos = nowNanos;
    }

    /**
     * Decides which action to take. A check that is delayed by a process pause pings before it closes.
     *
     * @param nowNanos monotonic time
     * @return the action
     */
    Action check(long nowNanos) {
        long silentNanos = nowNanos - silentSinceNanos;
        if (!readExpected || silentNanos < PING_AFTER.toNanos()) {
            return Action.NONE;
        }
        if (!pinged) {
            pinged = true;
            return Action.PING;
        }
        return silentNanos < CLOSE_AFTER.toNanos() ? Action.NONE : Action.CLOSE;
    }
}
