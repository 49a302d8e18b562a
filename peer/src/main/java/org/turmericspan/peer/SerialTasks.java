package org.turmericspan.peer;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;

/** Runs the tasks of one connection one after the other, in order, on whichever worker is free. */
final class SerialTasks {
    private final Executor workers;
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private boolean running;

    SerialTasks(Executor workers) {
        this.workers = workers;
    }

    void add(Runnable task) {
        synchronized (tasks) {
            tasks.add(task);
            if (running) {
                return;
            }
            running = true;
        }
        workers.execute(this::runNext);
    }

    private void runNext() {
        Runnable task;
        synchronized (tasks) {
            task = tasks.poll();
            if (task == null) {
                running = false;
                return;
            }
        }
        try {
            task.run();
        } finally {
            workers.execute(this::runNext);
        }
    }
}
