package org.turmericspan.forwarding;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Counts the timers that the code under test sets, and passes them on. */
final class CountingExecutor extends AbstractExecutorService implements ScheduledExecutorService {
    private final ScheduledExecutorService worker;
    private int timers;

    CountingExecutor(ScheduledExecutorService worker) {
        this.worker = worker;
    }

    /** Returns the number of timers set so far. */
    int timers() {
        return timers;
    }

    @Override
    public void execute(Runnable command) {
        worker.execute(command);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        timers++;
        return worker.schedule(command, delay, unit);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        timers++;
        return worker.schedule(callable, delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long initialDelay, long period, TimeUnit unit) {
        throw new UnsupportedOperationException("No code under test repeats a task");
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long initialDelay, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("No code under test repeats a task");
    }

    @Override
    public void shutdown() {
        worker.shutdown();
    }

    @Override
    public List<Runnable> shutdownNow() {
        return worker.shutdownNow();
    }

    @Override
    public boolean isShutdown() {
        return worker.isShutdown();
    }

    @Override
    public boolean isTerminated() {
        return worker.isTerminated();
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }
}
