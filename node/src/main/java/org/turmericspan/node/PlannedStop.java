package org.turmericspan.node;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.membership.NodeLifecycle;
import org.turmericspan.runs.TaskScheduler;

/**
 * Runs a planned stop, that is a graceful shutdown. The node leaves the locate responses, serves until those already
 * returned have expired, waits for the calls in flight, and runs the stop steps. A limit bounds the total duration.
 */
final class PlannedStop {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final NodeLifecycle lifecycle;
    private final InFlightCalls calls;
    private final Set<StopStep> steps;
    private final TaskScheduler taskScheduler;
    private final Duration leavingDuration;
    private final Duration limit;

    PlannedStop(
            NodeLifecycle lifecycle,
            InFlightCalls calls,
            Set<StopStep> steps,
            TaskScheduler taskScheduler,
            Duration leavingDuration,
            Duration limit) {
        this.lifecycle = lifecycle;
        this.calls = calls;
        this.steps = Set.copyOf(steps);
        this.taskScheduler = taskScheduler;
        this.leavingDuration = leavingDuration;
        this.limit = limit;
    }

    /**
     * Starts the stop.
     *
     * @return completes when the node may exit; never completes exceptionally
     */
    CompletableFuture<Void> run() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        lifecycle.enter(NodeLifecycle.Phase.LEAVING);
        taskScheduler.schedule(leavingDuration, () -> finishCalls(stopped));
        taskScheduler.schedule(limit, () -> stopAtLimit(stopped));
        return stopped;
    }

    private void finishCalls(CompletableFuture<Void> stopped) {
        lifecycle.enter(NodeLifecycle.Phase.FINISHING);
        logger.atInfo().log("node: waiting for %s calls in flight", calls.inFlight());
        calls.whenIdle().thenCompose(idle -> runSteps()).whenComplete((ignored, failure) -> {
            if (failure != null) {
                logger.atWarning().withCause(failure).log("node: a stop step failed; the stop continues");
            }
            stopped.complete(null);
        });
    }

    private CompletionStage<Void> runSteps() {
        return CompletableFuture.allOf(
                steps.stream().map(step -> step.begin().toCompletableFuture()).toArray(CompletableFuture[]::new));
    }

    private void stopAtLimit(CompletableFuture<Void> stopped) {
        int unfinished = calls.inFlight();
        if (stopped.complete(null)) {
            logger.atWarning().log(
                    "node: the stop exceeded its limit of %s; %s calls in flight are aborted", limit, unfinished);
        }
    }
}
