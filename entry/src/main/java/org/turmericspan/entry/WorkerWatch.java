package org.turmericspan.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;

/**
 * Detects that a worker has ended, as an {@link Error} outside all handlers makes it do. A process without workers
 * would neither serve nor end, so that the platform would not start it again.
 */
final class WorkerWatch {
    private WorkerWatch() {}

    /**
     * Watches the workers of a group that is never shut down.
     *
     * @param workers the workers
     * @param log receives the end of a worker; its cause is logged where it occurs
     * @param action runs when a worker has ended
     */
    static void start(EventLoopGroup workers, EventLog log, Runnable action) {
        for (EventExecutor worker : workers) {
            worker.terminationFuture().addListener(ended -> {
                log.write(Event.failure("node", "Worker ended, the process ends."));
                action.run();
            });
        }
    }
}
