package org.turmericspan.dispatch;

import java.time.Duration;

/** Runs a task later. */
@FunctionalInterface
public interface AttemptTimer {
    /**
     * Schedules a task.
     *
     * @param delay time to wait
     * @param task a short task that does not block
     * @return cancels the task when run
     */
    Runnable schedule(Duration delay, Runnable task);
}
