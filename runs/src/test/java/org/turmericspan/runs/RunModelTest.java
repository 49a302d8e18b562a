package org.turmericspan.runs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.ServiceCatalog;
import org.turmericspan.calls.ServiceLimits;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.RunToken;
import org.turmericspan.ids.ServiceId;

/** Sends, crashes, restarts, relays, repeats, expiry and late messages in any order, over the real gate and table. */
final class RunModelTest {
    private static final int EXHAUSTIVE_DEPTH = 6;
    private static final int COPIES = 3;
    private static final int MANY_COPIES = 8;

    @Test
    void noShortInterleavingBreaksARule() {
        assertThat(firstViolation(RunModelTest::gate)).isEmpty();
    }

    @Property(tries = 20_000, seed = "5", edgeCases = EdgeCasesMode.NONE)
    void noLongInterleavingBreaksARule(@ForAll @Size(min = 20, max = 60) List<@IntRange(max = 5039) Integer> choices) {
        RunWorld world = new RunWorld(RunModelTest::gate, MANY_COPIES);
        for (int choice : choices) {
            world.step(choice);
            assertThat(world.violation()).isEmpty();
        }
    }

    @Test
    void withoutAGateARepeatRunsTwice() {
        RunWorld.GateFactory open =
                parts -> new RunWorld.Gates(parts.next(), parts.next(), new RunTable(RunWorld.LIMITS, parts.clock()));
        assertThat(firstViolation(open)).contains("ran twice");
    }

    @Test
    void whenARefusalFreesItsTokenALateCopyRunsAfterTheCallerWasToldNo() {
        assertThat(firstViolation(parts -> gate(parts, ForgetfulTokens::new))).contains("told not run, but ran");
    }

    @Test
    void whenANodeRunsForAnUnreachableOwnerTheRequestRunsTwice() {
        RunWorld.GateFactory eager = parts -> {
            RunWorld.Gates real = gate(parts);
            CallHandler eagerly =
                    request -> real.callers().handle(request).thenCompose(result -> orRunHere(result, request, parts));
            return new RunWorld.Gates(eagerly, real.relayed(), real.table());
        };
        assertThat(firstViolation(eager)).contains("ran twice");
    }

    private static CompletionStage<CallResult> orRunHere(CallResult result, CallRequest request, RunWorld.Parts parts) {
        boolean unreachable =
                result instanceof CallResult.Refused refused && refused.code() == ResultCode.OWNER_UNREACHABLE;
        return unreachable ? parts.next().handle(request) : CompletableFuture.completedFuture(result);
    }

    private static RunWorld.Gates gate(RunWorld.Parts parts) {
        return gate(parts, RefusedTokenFilter::new);
    }

    private static RunWorld.Gates gate(RunWorld.Parts parts, Supplier<RefusedTokens> refusedTokens) {
        RunTable table = new RunTable(RunWorld.LIMITS, parts.clock(), refusedTokens);
        RunTokenHandler runTokenHandler = new RunTokenHandler(
                parts.incarnation(),
                new StrictCatalog(),
                table,
                parts.relay(),
                parts.next(),
                parts.clock(),
                parts.taskScheduler());
        return new RunWorld.Gates(runTokenHandler, runTokenHandler::handleRelayed, table);
    }

    /** Replays every sequence of choices up to the depth, and returns the first broken rule. */
    private static Optional<String> firstViolation(RunWorld.GateFactory gates) {
        return explore(gates, new ArrayList<>());
    }

    private static Optional<String> explore(RunWorld.GateFactory gates, List<Integer> choices) {
        RunWorld world = new RunWorld(gates, COPIES);
        choices.forEach(world::step);
        Optional<String> violation = world.violation();
        if (violation.isPresent() || choices.size() == EXHAUSTIVE_DEPTH) {
            return violation;
        }
        int enabled = world.enabledCount();
        for (int choice = 0; choice < enabled && violation.isEmpty(); choice++) {
            choices.add(choice);
            violation = explore(gates, choices);
            choices.remove(choices.size() - 1);
        }
        return violation;
    }

    /** Forgets every refusal, so that a token may be used again. */
    private static final class ForgetfulTokens implements RefusedTokens {
        @Override
        public void add(RunToken token) {}

        @Override
        public boolean mayContain(RunToken token) {
            return false;
        }
    }

    /** Requires a token for every request that is not idempotent. */
    private static final class StrictCatalog implements ServiceCatalog {
        @Override
        public Optional<ServiceLimits> limits(ServiceId service) {
            return Optional.empty();
        }

        @Override
        public boolean isIdempotent(ServiceId service, String method, String path) {
            return false;
        }

        @Override
        public boolean requiresRunToken(ServiceId service, String method, String path) {
            return true;
        }
    }
}
