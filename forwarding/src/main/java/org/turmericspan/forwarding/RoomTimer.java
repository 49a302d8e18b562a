package org.turmericspan.forwarding;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** The one timer of a waiting room, set to the next known time. Set and cancelled in passes only, one at a time. */
final class RoomTimer {
    private final Runnable action;
    private volatile ScheduledFuture<?> future;
    private long dueNanos;

    RoomTimer(Runnable action) {
        this.action = action;
    }

    /** Returns whether the timer is set, or has run and its pass has not come yet. */
    boolean isSet() {
        return future != null;
    }

    /** Sets the timer; keeps it if it is set to the same time. */
    void set(long newDueNanos, long delayNanos, ScheduledExecutorService worker) {
        ScheduledFuture<?> current = future;
        if (current != null && !current.isDone() && dueNanos == newDueNanos) {
            return;
        }
        cancel();
        dueNanos = newDueNanos;
        future = worker.schedule(action, Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
    }

    void cancel() {
        if (future != null) {
            future.cancel(false);
            future = null;
        }
    }
}
