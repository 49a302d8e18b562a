package org.turmericspan.testkit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Executor that runs submitted tasks immediately, and scheduled tasks when a test advances the clock, always on the
 * calling thread. Tasks at a fixed rate are run with a fixed delay.
 */
public final class ManualExecutor extends AbstractExecutorService implements ScheduledExecutorService {
    private final ManualClock clock;
    private final PriorityQueue<Task<?>> tasks = new PriorityQueue<>(
            Comparator.<Task<?>>comparingLong(task -> task.dueNanos).thenComparingLong(task -> task.sequence));
    private long nextSequence;

    /**
     * Creates an executor without tasks.
     *
     * @param clock clock that {@link #advance} advances
     */
    public ManualExecutor(ManualClock clock) {
        this.clock = clock;
    }

    /**
     * Advances the clock in steps of one millisecond, and runs the tasks that are due after each step.
     *
     * @param duration time to add, truncated to whole milliseconds
     */
    public void advance(Duration duration) {
        for (long elapsedMillis = 0; elapsedMillis < duration.toMillis(); elapsedMillis++) {
            clock.advance(Duration.ofMillis(1));
            runDue();
        }
    }

    private void runDue() {
        List<Task<?>> due = new ArrayList<>();
        while (!tasks.isEmpty() && tasks.peek().dueNanos - clock.nowNanos() <= 0) {
            due.add(tasks.poll());
        }
        due.forEach(Task::run);
    }

    @Override
    public void execute(Runnable command) {
        command.run();
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        return enqueue(new Task<>(command, unit.toNanos(delay)));
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("Scheduling a Callable is not supported");
    }

    private <V> Task<V> enqueue(Task<V> task) {
        tasks.add(task);
        return task;
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long initialDelay, long period, TimeUnit unit) {
        return scheduleWithFixedDelay(command, initialDelay, period, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long initialDelay, long delay, TimeUnit unit) {
        return schedule(
                () -> {
                    command.run();
                    scheduleWithFixedDelay(command, delay, delay, unit);
                },
                initialDelay,
                unit);
    }

    @Override
    public void shutdown() {
        tasks.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        tasks.clear();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }

    private final class Task<V> extends FutureTask<V> implements ScheduledFuture<V> {
        private final long dueNanos;
        private final long sequence = nextSequence++;

        Task(Runnable command, long delayNanos) {
            super(command, null);
            this.dueNanos = clock.nowNanos() + delayNanos;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(dueNanos - clock.nowNanos(), TimeUnit.NANOSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(getDelay(TimeUnit.NANOSECONDS), other.getDelay(TimeUnit.NANOSECONDS));
        }
    }
}
