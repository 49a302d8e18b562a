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
import org.turmericspan.calls.Located;
import org.turmericspan.calls.Payload;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.StopState;

final class PlannedStopTest {
    private static final Duration SERVE_LOCATED = Duration.ofSeconds(6);
    private static final Duration LIMIT = Duration.ofSeconds(60);

    private final StopState state = new StopState();
    private final CompletableFuture<CallResult> call = new CompletableFuture<>();
    private final InFlightCalls calls = new InFlightCalls(request -> call);
    private final CompletableFuture<Void> step = new CompletableFuture<>();
    private final List<Runnable> timers = new ArrayList<>();
    private final List<Duration> delays = new ArrayList<>();
    private final List<String> begun = new ArrayList<>();

    @Test
    void nodeServesUntilItsLocateAnswersHaveExpired() {
        CompletableFuture<Void> stopped = stop();
        assertThat(state.phase()).isEqualTo(StopState.Phase.LEAVING);
        assertThat(delays).containsExactly(SERVE_LOCATED, LIMIT);
        assertThat(stopped).isNotDone();
    }

    @Test
    void stopWaitsForTheLastCallAndThenForItsSteps() {
        calls.handle(null);
        CompletableFuture<Void> stopped = stop();
        timers.get(0).run();
        assertThat(state.phase()).isEqualTo(StopState.Phase.FINISHING);
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
        Located.Address leaving = address("entry-00");
        Located.Address staying = address("entry-01");
        StoppingLocator locator = new StoppingLocator(
                service -> Optional.of(new Located(List.of(leaving, staying), Duration.ofSeconds(5))),
                vm -> vm.equals(leaving.vm()));
        assertThat(locator.locate(new ServiceId("ordering")).orElseThrow().addresses())
                .containsExactly(staying);
    }

    @Test
    void stopStateNeverGoesBack() {
        List<StopState.Phase> seen = new ArrayList<>();
        state.addListener(seen::add);
        state.enter(StopState.Phase.FINISHING);
        state.enter(StopState.Phase.LEAVING);
        assertThat(seen).containsExactly(StopState.Phase.FINISHING);
        assertThat(state.phase()).isEqualTo(StopState.Phase.FINISHING);
    }

    private CompletableFuture<Void> stop() {
        StopStep recorded = () -> {
            begun.add("step");
            return step;
        };
        PlannedStop plannedStop = new PlannedStop(
                state,
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

    private static Located.Address address(String vm) {
        return new Located.Address(new VmId(vm), new SocketAddress("127.0.0.1", 1), 1);
    }
}
