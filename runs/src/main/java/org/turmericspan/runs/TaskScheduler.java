package org.turmericspan.runs;

import java.time.Duration;

/** Runs tasks on a worker thread after a delay. */
@FunctionalInterface
public interface TaskScheduler {
    /**
     * Runs a task once after a delay.
     *
     * @param delay time from now until the task runs
     * @param task short task that does not block
     */
    void schedule(Duration delay, Runnable task);
}
