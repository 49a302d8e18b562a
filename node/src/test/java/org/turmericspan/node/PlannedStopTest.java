package org.turmericspan.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.LocateResult;
import org.turmericspan.calls.Payload;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.NodeLifecycle;

/**
 * Tests the order of a planned stop. A node that stopped earlier would fail calls in flight and calls of callers that
 * still use a cached locate response; one that waited without limit would never exit.
 */
final class PlannedStopTest {
    private static final Duration LEAVING_DURATION = Duration.ofSeconds(6);
    private static final Duration LIMIT = Duration.ofSeconds(60);

    private final NodeLifecycle lifecycle = new NodeLifecycle();
    private final CompletableFuture<CallResult> callResult = new CompletableFuture<>();
    private final InFlightCalls calls = new InFlightCalls(request -> callResult);
    private final CompletableFuture<Void> stepResult = new CompletableFuture<>();
    private final List<Runnable> scheduledTasks = new ArrayList<>();
    private final List<Duration> delays = new ArrayList<>();
    private final List<String> startedSteps = new ArrayList<>();

    @Test
    void leavingNodeServesUntilItsLocateResponsesHaveExpired() {
        CompletableFuture<Void> stopped = startStop();
        assertThat(lifecycle.phase()).isEqualTo(NodeLifecycle.Phase.LEAVING);
        assertThat(delays).containsExactly(LEAVING_DURATION, LIMIT);
        assertThat(stopped).isNotDone();
    }

    @Test
    void stopWaitsForCallsInFlightAndThenForItsSteps() {
        calls.handle(null);
        CompletableFuture<Void> stopped = startStop();
        scheduledTasks.get(0).run();
        assertThat(lifecycle.phase()).isEqualTo(NodeLifecycle.Phase.FINISHING);
        assertThat(startedSteps).isEmpty();
        callResult.complete(new CallResult.Answered(200, List.of(), Payload.EMPTY));
        assertThat(startedSteps).hasSize(1);
        assertThat(stopped).isNotDone();
        stepResult.complete(null);
        assertThat(stopped).isCompleted();
    }

    @Test
    void hangingStopEndsAtItsLimit() {
        calls.handle(null);
        CompletableFuture<Void> stopped = startStop();
        scheduledTasks.get(0).run();
        scheduledTasks.get(1).run();
        assertThat(stopped).isCompleted();
    }

    @Test
    void failedStepDoesNotBlockTheStop() {
        stepResult.completeExceptionally(new IllegalStateException("no peer"));
        CompletableFuture<Void> stopped = startStop();
        scheduledTasks.get(0).run();
        assertThat(stopped).isCompletedWithValue(null);
    }

    @Test
    void leavingNodeIsLeftOutOfLocateResponses() {
        LocateResult.Endpoint leaving = endpoint("entry-00");
        LocateResult.Endpoint remaining = endpoint("entry-01");
        LeavingNodeFilter locator = new LeavingNodeFilter(
                service -> Optional.of(new LocateResult(List.of(leaving, remaining), Duration.ofSeconds(5))),
                vm -> vm.equals(leaving.vm()));
        assertThat(locator.locate(new ServiceId("ordering")).orElseThrow().addresses())
                .containsExactly(remaining);
    }

    @Test
    void lifecycleNeverReturnsToAnEarlierPhase() {
        List<NodeLifecycle.Phase> seen = new ArrayList<>();
        lifecycle.addListener(seen::add);
        lifecycle.enter(NodeLifecycle.Phase.FINISHING);
        lifecycle.enter(NodeLifecycle.Phase.LEAVING);
        assertThat(seen).containsExactly(NodeLifecycle.Phase.FINISHING);
        assertThat(lifecycle.phase()).isEqualTo(NodeLifecycle.Phase.FINISHING);
    }

    private CompletableFuture<Void> startStop() {
        StopStep recordingStep = () -> {
            startedSteps.add("step");
            return stepResult;
        };
        PlannedStop plannedStop = new PlannedStop(
                lifecycle,
                calls,
                Set.of(recordingStep),
                (delay, task) -> {
                    delays.add(delay);
                    scheduledTasks.add(task);
                },
                LEAVING_DURATION,
                LIMIT);
        return plannedStop.run();
    }

    private static LocateResult.Endpoint endpoint(String vm) {
        return new LocateResult.Endpoint(new VmId(vm), new SocketAddress("127.0.0.1", 1), 1);
    }
}
