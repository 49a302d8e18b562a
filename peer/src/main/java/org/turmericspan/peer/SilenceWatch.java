package org.turmericspan.peer;

import java.time.Duration;

/** Decides when a connection that owes a sign of life is asked for one, and when it counts as silent. */
final class SilenceWatch {
    static final Duration PING_AFTER = Duration.ofSeconds(1);
    static final Duration CLOSE_AFTER = Duration.ofSeconds(3);

    private boolean owed;
    private boolean pinged;
    private long quietSinceNanos;

    /** What to do with the connection now. */
    enum Action {
        /** Nothing. */
        NONE,
        /** Ask for a sign of life. */
        PING,
        /** Close the connection. */
        CLOSE
    }

    /**
     * Notes that something was written.
     *
     * @param nowNanos monotonic time
     */
    void written(long nowNanos) {
        if (!owed) {
            owed = true;
            pinged = false;
            quietSinceNanos = nowNanos;
        }
    }

    /**
     * Notes that something was read.
     *
     * @param nowNanos monotonic time
     * @param answersPending whether answers are still due
     */
    void read(long nowNanos, boolean answersPending) {
        owed = answersPending;
        pinged = false;
        quietSinceNanos = nowNanos;
    }

    /**
     * Decides what to do.
     *
     * @param nowNanos monotonic time
     * @return the action to take now
     */
    Action check(long nowNanos) {
        long quietNanos = nowNanos - quietSinceNanos;
        if (!owed || quietNanos < PING_AFTER.toNanos()) {
            return Action.NONE;
        }
        if (!pinged) {
            pinged = true;
            return Action.PING;
        }
        return quietNanos < CLOSE_AFTER.toNanos() ? Action.NONE : Action.CLOSE;
    }
}
