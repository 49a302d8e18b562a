package org.turmericspan.entry;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Executor of one process of an in-memory node: what it has scheduled is no longer run once the process has ended. */
final class NodeLifetime extends AbstractExecutorService implements ScheduledExecutorService, AutoCloseable {
    private final ScheduledExecutorService executor;
    private boolean ended;

    NodeLifetime(ScheduledExecutorService executor) {
        this.executor = executor;
    }

    @Override
    public void close() {
        ended = true;
    }

    private Runnable whileRunning(Runnable command) {
        return () -> {
            if (!ended) {
                command.run();
            }
        };
    }

    @Override
    public void execute(Runnable command) {
        executor.execute(whileRunning(command));
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        return executor.schedule(whileRunning(command), delay, unit);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("Scheduling a Callable is not supported");
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long initialDelay, long period, TimeUnit unit) {
        return scheduleWithFixedDelay(command, initialDelay, period, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long initialDelay, long delay, TimeUnit unit) {
        return executor.schedule(
                () -> {
                    if (!ended) {
                        command.run();
                        scheduleWithFixedDelay(command, delay, delay, unit);
                    }
                },
                initialDelay,
                unit);
    }

    @Override
    public void shutdown() {
        close();
    }

    @Override
    public List<Runnable> shutdownNow() {
        close();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return ended;
    }

    @Override
    public boolean isTerminated() {
        return ended;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return ended;
    }
}
