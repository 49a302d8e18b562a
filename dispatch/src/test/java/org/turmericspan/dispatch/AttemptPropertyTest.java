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
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.UpstreamExchange;
import org.turmericspan.calls.UpstreamReply;
import org.turmericspan.errors.Ran;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.retry.HedgePolicy;
import org.turmericspan.retry.RepeatBudget;
import org.turmericspan.retry.RetryPolicy;

/** What holds for a call whatever its slots and upstreams do, over the code that runs in a node. */
final class AttemptPropertyTest {
    private static final RepeatPolicies POLICIES = new RepeatPolicies(
            RetryPolicy.safe(service -> OptionalLong.empty()),
            HedgePolicy.slowerThan(service -> OptionalLong.of(1)),
            RepeatBudget.unbounded());

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
            AttemptParts parts = new AttemptParts(
                    new FakeCatalog(),
                    wish -> answer(decision()),
                    (lease, sent, limit) -> exchange(),
                    new RandomDeaths(),
                    (delay, task) -> {
                        later.add(task);
                        return () -> later.remove(task);
                    },
                    new FakeMetrics(),
                    () -> 0);
            CompletionStage<CallResult> result = new AttemptHandler(parts, POLICIES).handle(request);
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
            UpstreamReply.Kind[] kinds = UpstreamReply.Kind.values();
            UpstreamReply reply = TestCalls.reply(kinds[random.nextInt(kinds.length)]);
            mayHaveRun += reply.mayHaveRun() ? 1 : 0;
            CompletableFuture<UpstreamReply> stage = answer(reply);
            return new UpstreamExchange() {
                @Override
                public CompletionStage<UpstreamReply> reply() {
                    return stage;
                }

                @Override
                public void cancel() {
                    // The reply chosen above comes all the same, late.
                }
            };
        }

        private final class RandomDeaths implements DeathWatch {
            @Override
            public CompletionStage<Boolean> lost(CallRequest request, SlotLease lease, UpstreamReply reply) {
                return answer(random.nextBoolean());
            }

            @Override
            public void answered(CallRequest request, SlotLease lease, UpstreamReply reply) {
                assertThat(request.service().value()).isEqualTo("ordering");
            }
        }
    }
}
