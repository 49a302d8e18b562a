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

final class PlannedStopTest {
    private static final Duration SERVE_LOCATED = Duration.ofSeconds(6);
    private static final Duration LIMIT = Duration.ofSeconds(60);

    private final NodeLifecycle lifecycle = new NodeLifecycle();
    private final CompletableFuture<CallResult> call = new CompletableFuture<>();
    private final InFlightCalls calls = new InFlightCalls(request -> call);
    private final CompletableFuture<Void> step = new CompletableFuture<>();
    private final List<Runnable> timers = new ArrayList<>();
    private final List<Duration> delays = new ArrayList<>();
    private final List<String> begun = new ArrayList<>();

    @Test
    void nodeServesUntilItsLocateAnswersHaveExpired() {
        CompletableFuture<Void> stopped = stop();
        assertThat(lifecycle.phase()).isEqualTo(NodeLifecycle.Phase.LEAVING);
        assertThat(delays).containsExactly(SERVE_LOCATED, LIMIT);
        assertThat(stopped).isNotDone();
    }

    @Test
    void stopWaitsForTheLastCallAndThenForItsSteps() {
        calls.handle(null);
        CompletableFuture<Void> stopped = stop();
        timers.get(0).run();
        assertThat(lifecycle.phase()).isEqualTo(NodeLifecycle.Phase.FINISHING);
        assertThat(begun).isEmpty();
        call.complete(new CallResult.Answered(200, List.of(), Payload.EMPTY));
        assertThat(begun).hasSize(1);
        assertThat(stopped).isNotDone();
        step.complete(null);
        assertThat(stopped).isCompleted();
    }

    @Test
    void limitEndsAStopThatHangs() {
        calls.handle(null);
        CompletableFuture<Void> stopped = stop();
        timers.get(0).run();
        timers.get(1).run();
        assertThat(stopped).isCompleted();
    }

    @Test
    void failedStepDoesNotHoldTheStopUp() {
        step.completeExceptionally(new IllegalStateException("no peer"));
        CompletableFuture<Void> stopped = stop();
        timers.get(0).run();
        assertThat(stopped).isCompletedWithValue(null);
    }

    @Test
    void leavingNodeIsNotInLocateAnswers() {
        LocateResult.Endpoint leaving = address("entry-00");
        LocateResult.Endpoint staying = address("entry-01");
        StoppingLocator locator = new StoppingLocator(
                service -> Optional.of(new LocateResult(List.of(leaving, staying), Duration.ofSeconds(5))),
                vm -> vm.equals(leaving.vm()));
        assertThat(locator.locate(new ServiceId("ordering")).orElseThrow().addresses())
                .containsExactly(staying);
    }

    @Test
    void stopStateNeverGoesBack() {
        List<NodeLifecycle.Phase> seen = new ArrayList<>();
        lifecycle.addListener(seen::add);
        lifecycle.enter(NodeLifecycle.Phase.FINISHING);
        lifecycle.enter(NodeLifecycle.Phase.LEAVING);
        assertThat(seen).containsExactly(NodeLifecycle.Phase.FINISHING);
        assertThat(lifecycle.phase()).isEqualTo(NodeLifecycle.Phase.FINISHING);
    }

    private CompletableFuture<Void> stop() {
        StopStep recorded = () -> {
            begun.add("step");
            return step;
        };
        PlannedStop plannedStop = new PlannedStop(
                lifecycle,
                calls,
                Set.of(recorded),
                (delay, task) -> {
                    delays.add(delay);
                    timers.add(task);
                },
                SERVE_LOCATED,
                LIMIT);
        return plannedStop.run();
    }

    private static LocateResult.Endpoint address(String vm) {
        return new LocateResult.Endpoint(new VmId(vm), new SocketAddress("127.0.0.1", 1), 1);
    }
}
