package org.turmericspan.dispatch;

import java.time.Duration;

/** Runs tasks after a delay. */
@FunctionalInterface
public interface AttemptTimer {
    /**
     * Schedules a task to run once.
     *
     * @param delay time from now until the task runs
     * @param task short task that does not block
     * @return action that cancels the task
     */
    Runnable schedule(Duration delay, Runnable task);
}
