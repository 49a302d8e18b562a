package org.turmericspan.tables;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Pool of the worker threads of a node. Tasks are short and never block; what has to wait is queued as state. */
public final class WorkerPool implements AutoCloseable {
    /** Maximum time for which closing the pool waits for running tasks. */
    private static final long STOP_TIMEOUT_SECONDS = 5;

    private final ScheduledExecutorService executor;

    /**
     * Starts the pool.
     *
     * @param threads number of worker threads, at least 1
     */
    public WorkerPool(int threads) {
        AtomicInteger sequence = new AtomicInteger();
        ThreadFactory factory = task -> {
            Thread thread = new Thread(task, "worker-" + sequence.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
        ScheduledThreadPoolExecutor pool = new ScheduledThreadPoolExecutor(threads, factory);
        pool.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        this.executor = pool;
    }

    /**
     * Runs a task on a worker thread.
     *
     * @param task a short task that does not block
     */
    public void execute(Runnable task) {
        executor.execute(task);
    }

    /**
     * Runs a task once after a delay.
     *
     * @param delay time until the task runs
     * @param task a short task that does not block
     * @return handle that cancels the task
     */
    public ScheduledFuture<?> schedule(Duration delay, Runnable task) {
        return executor.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Runs a task periodically with a fixed delay between the end of one run and the start of the next.
     *
     * @param delay time before the first run and between two runs
     * @param task a short task that does not block and does not throw
     * @return handle that cancels the task
     */
    public ScheduledFuture<?> scheduleWithFixedDelay(Duration delay, Runnable task) {
        return executor.scheduleWithFixedDelay(task, delay.toNanos(), delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Stops the pool, drops tasks that are not yet due, and waits a few seconds for running ones. */
    @Override
    public void close() {
        executor.shutdown();
        try {
            if (!executor.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                executor.shutdownNow();
            }
        } catch (InterruptedException e) {
            executor.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }
}
