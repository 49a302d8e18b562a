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

/**
 * Model check of the real handler and run table: explores sends, duplicates, relays, restarts, epoch changes and late
 * messages in any order. Guards against a request that runs twice and against a request that is reported as not run but
 * ran. The tests whose handler chain has one of these faults show that the model finds it.
 */
final class RunModelTest {
    private static final int EXHAUSTIVE_STEPS = 6;
    private static final int MAX_COPIES_EXHAUSTIVE = 3;
    private static final int MAX_COPIES_RANDOM = 8;

    @Test
    void noShortInterleavingBreaksAnInvariant() {
        assertThat(firstViolation(RunModelTest::tokenHandlerChain)).isEmpty();
    }

    @Property(tries = 20_000, seed = "5", edgeCases = EdgeCasesMode.NONE)
    void noLongInterleavingBreaksAnInvariant(
            @ForAll @Size(min = 20, max = 60) List<@IntRange(max = 5039) Integer> choices) {
        RunSimulation simulation = new RunSimulation(RunModelTest::tokenHandlerChain, MAX_COPIES_RANDOM);
        for (int choice : choices) {
            simulation.step(choice);
            assertThat(simulation.violation()).isEmpty();
        }
    }

    @Test
    void withoutTheTokenHandlerADuplicateRequestRunsTwice() {
        RunSimulation.HandlerChainFactory withoutHandler = dependencies -> new RunSimulation.HandlerChain(
                dependencies.next(), dependencies.next(), new RunTable(RunSimulation.LIMITS, dependencies.clock()));
        assertThat(firstViolation(withoutHandler)).contains("ran twice");
    }

    @Test
    void whenARefusalFreesItsTokenALateCopyRunsAfterTheCallerWasToldNo() {
        assertThat(firstViolation(dependencies -> tokenHandlerChain(dependencies, NoRefusedTokens::new)))
                .contains("told not run, but ran");
    }

    @Test
    void whenANodeRunsARequestOfAnUnreachableOwnerItRunsTwice() {
        RunSimulation.HandlerChainFactory runningForOwner = dependencies -> {
            RunSimulation.HandlerChain tokenChain = tokenHandlerChain(dependencies);
            CallHandler callerHandler = request -> tokenChain
                    .callerHandler()
                    .handle(request)
                    .thenCompose(result -> runHereIfUnreachable(result, request, dependencies));
            return new RunSimulation.HandlerChain(callerHandler, tokenChain.relayedHandler(), tokenChain.table());
        };
        assertThat(firstViolation(runningForOwner)).contains("ran twice");
    }

    private static CompletionStage<CallResult> runHereIfUnreachable(
            CallResult result, CallRequest request, RunSimulation.Dependencies dependencies) {
        boolean unreachable =
                result instanceof CallResult.Refused refused && refused.code() == ResultCode.OWNER_UNREACHABLE;
        return unreachable ? dependencies.next().handle(request) : CompletableFuture.completedFuture(result);
    }

    private static RunSimulation.HandlerChain tokenHandlerChain(RunSimulation.Dependencies dependencies) {
        return tokenHandlerChain(dependencies, RefusedTokenFilter::new);
    }

    private static RunSimulation.HandlerChain tokenHandlerChain(
            RunSimulation.Dependencies dependencies, Supplier<RefusedTokens> refusedTokens) {
        RunTable table = new RunTable(RunSimulation.LIMITS, dependencies.clock(), refusedTokens);
        RunTokenHandler runTokenHandler = new RunTokenHandler(
                dependencies.incarnation(),
                new StrictCatalog(),
                table,
                dependencies.relay(),
                dependencies.next(),
                dependencies.clock(),
                dependencies.taskScheduler());
        return new RunSimulation.HandlerChain(runTokenHandler, runTokenHandler::handleRelayed, table);
    }

    /** Replays every sequence of up to {@link #EXHAUSTIVE_STEPS} choices, and returns the first violated invariant. */
    private static Optional<String> firstViolation(RunSimulation.HandlerChainFactory handlerChainFactory) {
        return explore(handlerChainFactory, new ArrayList<>());
    }

    private static Optional<String> explore(
            RunSimulation.HandlerChainFactory handlerChainFactory, List<Integer> choices) {
        RunSimulation simulation = new RunSimulation(handlerChainFactory, MAX_COPIES_EXHAUSTIVE);
        choices.forEach(simulation::step);
        Optional<String> violation = simulation.violation();
        if (violation.isPresent() || choices.size() == EXHAUSTIVE_STEPS) {
            return violation;
        }
        int enabled = simulation.enabledCount();
        for (int choice = 0; choice < enabled && violation.isEmpty(); choice++) {
            choices.add(choice);
            violation = explore(handlerChainFactory, choices);
            choices.remove(choices.size() - 1);
        }
        return violation;
    }

    /** Set that keeps no token, so that a refused token may be used again. */
    private static final class NoRefusedTokens implements RefusedTokens {
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
