package org.turmericspan.peer;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;

/** Runs the tasks of one connection on the workers, one at a time and in order. */
final class SerialExecutor {
    private final Executor workers;
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private boolean running;

    SerialExecutor(Executor workers) {
        this.workers = workers;
    }

    void execute(Runnable task) {
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
