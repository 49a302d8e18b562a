package org.turmericspan.node;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.turmericspan.membership.NodeLifecycle;
import org.turmericspan.runs.TaskScheduler;

/**
 * Order of a planned stop: leave the locate answers, serve until those already given have expired, finish the calls in
 * flight, do what the others need, and end. A limit bounds the whole.
 */
final class PlannedStop {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final NodeLifecycle lifecycle;
    private final InFlightCalls calls;
    private final Set<StopStep> steps;
    private final TaskScheduler taskScheduler;
    private final Duration serveLocated;
    private final Duration limit;

    PlannedStop(
            NodeLifecycle lifecycle,
            InFlightCalls calls,
            Set<StopStep> steps,
            TaskScheduler taskScheduler,
            Duration serveLocated,
            Duration limit) {
        this.lifecycle = lifecycle;
        this.calls = calls;
        this.steps = Set.copyOf(steps);
        this.taskScheduler = taskScheduler;
        this.serveLocated = serveLocated;
        this.limit = limit;
    }

    /**
     * Begins the stop.
     *
     * @return complete when the node may exit; never exceptionally
     */
    CompletableFuture<Void> run() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        lifecycle.enter(NodeLifecycle.Phase.LEAVING);
        taskScheduler.schedule(serveLocated, () -> finishCalls(stopped));
        taskScheduler.schedule(limit, () -> giveUp(stopped));
        return stopped;
    }

    private void finishCalls(CompletableFuture<Void> stopped) {
        lifecycle.enter(NodeLifecycle.Phase.FINISHING);
        logger.atInfo().log("node: finishes %s calls in flight", calls.inFlight());
        calls.whenIdle().thenCompose(idle -> takeSteps()).whenComplete((done, failure) -> {
            if (failure != null) {
                logger.atWarning().withCause(failure).log("node: a step of the stop failed");
            }
            stopped.complete(null);
        });
    }

    private CompletionStage<Void> takeSteps() {
        return CompletableFuture.allOf(
                steps.stream().map(step -> step.begin().toCompletableFuture()).toArray(CompletableFuture[]::new));
    }

    private void giveUp(CompletableFuture<Void> stopped) {
        int cut = calls.inFlight();
        if (stopped.complete(null)) {
            logger.atWarning().log("node: the stop took longer than %s and cuts off %s calls", limit, cut);
        }
    }
}
