package org.turmericspan.routing;

import java.time.Duration;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.tables.WorkerPool;

/**
 * What the parts of lending need of the node.
 *
 * @param self VM of this node
 * @param incarnation this life of the process
 * @param links links to the other nodes
 * @param timer runs a task after a delay
 */
public record SlotNetwork(VmId self, Incarnation incarnation, PeerLinks links, Timer timer) {
    /** Runs a task once after a delay. */
    @FunctionalInterface
    public interface Timer {
        /**
         * Runs a task.
         *
         * @param delay time to wait
         * @param task a short task
         */
        void after(Duration delay, Runnable task);

        /**
         * Builds a timer on the node's workers.
         *
         * @param workerPool runs the tasks
         * @return the timer
         */
        static Timer on(WorkerPool workerPool) {
            return workerPool::schedule;
        }
    }
}
