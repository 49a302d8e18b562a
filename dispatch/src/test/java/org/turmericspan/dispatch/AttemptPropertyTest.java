package org.turmericspan.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.UpstreamExchange;
import org.turmericspan.errors.Ran;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.retry.HedgePolicy;
import org.turmericspan.retry.RetryBudget;
import org.turmericspan.retry.RetryPolicy;

/**
 * Passes calls to the handler with random slot decisions, attempt outcomes and crashes, in random order. Guards against
 * calls without a result, slots that are released twice or never, and calls reported as not run although an attempt may
 * have run.
 */
final class AttemptPropertyTest {
    private static final RetryPolicies POLICIES = new RetryPolicies(
            RetryPolicy.whenSafe(service -> OptionalLong.empty()),
            HedgePolicy.afterQuantile(service -> OptionalLong.of(1)),
            RetryBudget.unbounded());

    @Property(tries = 2_000, seed = "20261204")
    void everyCallEndsOnceReleasesEverySlotAndReportsNotRunOnlyIfItDidNotRun(
            @ForAll boolean idempotent, @ForAll long seed) {
        Simulation simulation = new Simulation(new Random(seed));
        CompletableFuture<CallResult> result =
                simulation.run(TestCalls.request(idempotent)).toCompletableFuture();

        assertThat(result).isCompleted();
        assertThat(simulation.leases)
                .allSatisfy(lease -> assertThat(lease.returns()).hasSize(1));
        boolean isReportedAsNotRun = result.join() instanceof CallResult.Refused refused
                && refused.code().ran() == Ran.NO;
        assertThat(isReportedAsNotRun && simulation.mayHaveRunCount > 0).isFalse();
        assertThat(simulation.mayHaveRunCount).isLessThanOrEqualTo(idempotent ? 3 : 1);
    }

    /** Slots, upstreams and crash detector that complete stages at once or later, and tasks run in random order. */
    private static final class Simulation {
        private final Random random;
        private final List<TestCalls.FakeLease> leases = new ArrayList<>();
        private final List<Runnable> delayedTasks = new ArrayList<>();
        private int mayHaveRunCount;

        Simulation(Random random) {
            this.random = random;
        }

        CompletionStage<CallResult> run(CallRequest request) {
            AttemptDependencies dependencies = new AttemptDependencies(
                    new FakeCatalog(),
                    slotRequest -> completeNowOrLater(randomDecision()),
                    (lease, sent, limit) -> randomExchange(),
                    new RandomCrashDetector(),
                    (delay, task) -> {
                        delayedTasks.add(task);
                        return () -> delayedTasks.remove(task);
                    },
                    new FakeMetrics(),
                    () -> 0);
            CompletionStage<CallResult> result = new AttemptHandler(dependencies, POLICIES).handle(request);
            while (!delayedTasks.isEmpty()) {
                delayedTasks.remove(random.nextInt(delayedTasks.size())).run();
            }
            return result;
        }

        private <T> CompletableFuture<T> completeNowOrLater(T value) {
            CompletableFuture<T> stage = new CompletableFuture<>();
            if (random.nextBoolean()) {
                stage.complete(value);
            } else {
                delayedTasks.add(() -> stage.complete(value));
            }
            return stage;
        }

        private SlotDecision randomDecision() {
            if (random.nextInt(4) == 0) {
                return new SlotDecision.Denied(ResultCode.NO_CAPACITY, Optional.empty());
            }
            TestCalls.FakeLease lease = new TestCalls.FakeLease("upstream-" + leases.size());
            leases.add(lease);
            return new SlotDecision.Granted(lease);
        }

        private UpstreamExchange randomExchange() {
            AttemptOutcome.Kind[] kinds = AttemptOutcome.Kind.values();
            AttemptOutcome outcome = TestCalls.outcome(kinds[random.nextInt(kinds.length)]);
            mayHaveRunCount += outcome.mayHaveRun() ? 1 : 0;
            CompletableFuture<AttemptOutcome> stage = completeNowOrLater(outcome);
            return new UpstreamExchange() {
                @Override
                public CompletionStage<AttemptOutcome> outcome() {
                    return stage;
                }

                @Override
                public void cancel() {
                    // The outcome chosen above is still delivered, since a cancelled attempt may complete.
                }
            };
        }

        private final class RandomCrashDetector implements CrashDetector {
            @Override
            public CompletionStage<Boolean> connectionLost(
                    CallRequest request, SlotLease lease, AttemptOutcome outcome) {
                return completeNowOrLater(random.nextBoolean());
            }

            @Override
            public void responseReceived(CallRequest request, SlotLease lease, AttemptOutcome outcome) {
                assertThat(request.service().value()).isEqualTo("ordering");
            }
        }
    }
}
