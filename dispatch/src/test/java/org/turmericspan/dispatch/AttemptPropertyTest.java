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

/** What holds for a call whatever its slots and upstreams do, over the code that runs in a node. */
final class AttemptPropertyTest {
    private static final RetryPolicies POLICIES = new RetryPolicies(
            RetryPolicy.whenSafe(service -> OptionalLong.empty()),
            HedgePolicy.afterQuantile(service -> OptionalLong.of(1)),
            RetryBudget.unbounded());

    @Property(tries = 2_000, seed = "20261204")
    void everyCallEndsOnceGivesEverySlotBackAndTellsTheTruth(@ForAll boolean idempotent, @ForAll long seed) {
        World world = new World(new Random(seed));
        CompletableFuture<CallResult> result =
                world.run(TestCalls.request(idempotent)).toCompletableFuture();

        assertThat(result).isCompleted();
        assertThat(world.leases).allSatisfy(lease -> assertThat(lease.returns()).hasSize(1));
        boolean saysNotRun = result.join() instanceof CallResult.Refused refused
                && refused.code().ran() == Ran.NO;
        assertThat(saysNotRun && world.mayHaveRun > 0).isFalse();
        assertThat(world.mayHaveRun).isLessThanOrEqualTo(idempotent ? 3 : 1);
    }

    /** Slots, upstreams and timers that answer at once or later, in any order. */
    private static final class World {
        private final Random random;
        private final List<TestCalls.FakeLease> leases = new ArrayList<>();
        private final List<Runnable> later = new ArrayList<>();
        private int mayHaveRun;

        World(Random random) {
            this.random = random;
        }

        CompletionStage<CallResult> run(CallRequest request) {
            AttemptDependencies dependencies = new AttemptDependencies(
                    new FakeCatalog(),
                    slotRequest -> answer(decision()),
                    (lease, sent, limit) -> exchange(),
                    new RandomDeaths(),
                    (delay, task) -> {
                        later.add(task);
                        return () -> later.remove(task);
                    },
                    new FakeMetrics(),
                    () -> 0);
            CompletionStage<CallResult> result = new AttemptHandler(dependencies, POLICIES).handle(request);
            while (!later.isEmpty()) {
                later.remove(random.nextInt(later.size())).run();
            }
            return result;
        }

        private <T> CompletableFuture<T> answer(T value) {
            CompletableFuture<T> stage = new CompletableFuture<>();
            if (random.nextBoolean()) {
                stage.complete(value);
            } else {
                later.add(() -> stage.complete(value));
            }
            return stage;
        }

        private SlotDecision decision() {
            if (random.nextInt(4) == 0) {
                return new SlotDecision.Denied(ResultCode.NO_CAPACITY, Optional.empty());
            }
            TestCalls.FakeLease lease = new TestCalls.FakeLease("upstream-" + leases.size());
            leases.add(lease);
            return new SlotDecision.Granted(lease);
        }

        private UpstreamExchange exchange() {
            AttemptOutcome.Kind[] kinds = AttemptOutcome.Kind.values();
            AttemptOutcome outcome = TestCalls.reply(kinds[random.nextInt(kinds.length)]);
            mayHaveRun += outcome.mayHaveRun() ? 1 : 0;
            CompletableFuture<AttemptOutcome> stage = answer(outcome);
            return new UpstreamExchange() {
                @Override
                public CompletionStage<AttemptOutcome> outcome() {
                    return stage;
                }

                @Override
                public void cancel() {
                    // The reply chosen above comes all the same, late.
                }
            };
        }

        private final class RandomDeaths implements CrashDetector {
            @Override
            public CompletionStage<Boolean> connectionLost(
                    CallRequest request, SlotLease lease, AttemptOutcome outcome) {
                return answer(random.nextBoolean());
            }

            @Override
            public void responseReceived(CallRequest request, SlotLease lease, AttemptOutcome outcome) {
                assertThat(request.service().value()).isEqualTo("ordering");
            }
        }
    }
}
