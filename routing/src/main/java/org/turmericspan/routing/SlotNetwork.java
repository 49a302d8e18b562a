package org.turmericspan.routing;

import java.time.Duration;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.tables.WorkerPool;

/**
 * The node's identity, its links to other nodes and its timer, as needed for lending and borrowing slots.
 *
 * @param self VM of this node
 * @param incarnation incarnation of this process
 * @param links links to the other nodes
 * @param timer runs a task after a delay
 */
public record SlotNetwork(VmId self, Incarnation incarnation, PeerLinks links, Timer timer) {
    /** Runs a task once after a delay. */
    @FunctionalInterface
    public interface Timer {
        /**
         * Schedules a task.
         *
         * @param delay time to wait
         * @param task a short task
         */
        void after(Duration delay, Runnable task);

        /**
         * Returns a timer that runs its tasks on the node's worker pool.
         *
         * @param workerPool runs the tasks
         * @return the timer
         */
        static Timer on(WorkerPool workerPool) {
            return workerPool::schedule;
        }
    }
}
