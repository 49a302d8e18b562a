package org.turmericspan.runs;

import java.time.Duration;

/** Runs tasks later on a worker. */
@FunctionalInterface
public interface TaskScheduler {
    /**
     * Runs a task once after a delay.
     *
     * @param delay time to wait
     * @param task a short task that does not block
     */
    void schedule(Duration delay, Runnable task);
}
