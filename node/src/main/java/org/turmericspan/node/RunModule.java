package org.turmericspan.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.annotation.JsonProperty;
import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import dagger.multibindings.Multibinds;
import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import javax.inject.Named;
import javax.inject.Singleton;
import org.turmericspan.calls.CallHandler;
import org.turmericspan.calls.CallResult;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.front.StateSection;
import org.turmericspan.front.TokenIssuer;
import org.turmericspan.ids.Epoch;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.NodeIdentity;
import org.turmericspan.membership.Peers;
import org.turmericspan.membership.StopState;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.peer.PeerHandlers;
import org.turmericspan.runs.DelayedTasks;
import org.turmericspan.runs.RelayedCalls;
import org.turmericspan.runs.RunCounts;
import org.turmericspan.runs.RunGate;
import org.turmericspan.runs.RunRelay;
import org.turmericspan.runs.RunTable;
import org.turmericspan.runs.TokenOwners;
import org.turmericspan.tables.Workers;

/** Wires run tokens and the planned stop. */
@Module
abstract class RunModule {
    private static final Duration SPREAD_ALLOWANCE = Duration.ofSeconds(1);

    private RunModule() {}

    @Multibinds
    abstract Set<StopStep> stopSteps();

    @Provides
    @Singleton
    static StopState stopState() {
        return new StopState();
    }

    @Provides
    @Singleton
    static RunTable runTable(NodeSettings settings, MonotonicClock clock, MetricRegistry metrics) {
        RunTable table = new RunTable(settings.runLimits(), clock);
        metrics.register("runs.in_flight", (Gauge<Integer>) () -> table.counts().inFlight());
        metrics.register("runs.stored", (Gauge<Integer>) () -> table.counts().stored());
        metrics.register("runs.stored_bytes", (Gauge<Long>) () -> table.counts().storedBytes());
        return table;
    }

    @Provides
    @Singleton
    static DelayedTasks delayedTasks(Workers workers) {
        return workers::schedule;
    }

    @Provides
    @Singleton
    static TokenOwners tokenOwners(Peers peers) {
        return peers::findByIncarnation;
    }

    @Provides
    @Singleton
    static RunRelay runRelay(TokenOwners owners, PeerLinks links, MonotonicClock clock) {
        return new RunRelay(owners, links, clock);
    }

    @Provides
    @Singleton
    static RunGate runGate(
            NodeIdentity identity,
            ConfiguredCatalog catalog,
            RunTable table,
            RunRelay relay,
            @Named(SuspectModule.ATTEMPTS) CallHandler attempts,
            StopState stopState,
            MonotonicClock clock,
            DelayedTasks delayedTasks) {
        CallHandler unlessFinishing =
                request -> stopState.phase() == StopState.Phase.FINISHING ? stopping() : attempts.handle(request);
        return new RunGate(identity.incarnation(), catalog, table, relay, unlessFinishing, clock, delayedTasks);
    }

    @Provides
    @Singleton
    static InFlightCalls inFlightCalls(
            RunGate gate, PeerHandlers handlers, MonotonicClock clock, MetricRegistry metrics) {
        InFlightCalls calls = new InFlightCalls(gate);
        handlers.register(PeerMessage.RelayCall.class, new RelayedCalls(calls.counting(gate::handleRelayed), clock));
        metrics.register("calls.in_flight", (Gauge<Integer>) calls::inFlight);
        return calls;
    }

    @Provides
    @Singleton
    static PlannedStop plannedStop(
            NodeSettings settings,
            StopState state,
            InFlightCalls calls,
            Set<StopStep> steps,
            DelayedTasks delayedTasks) {
        return new PlannedStop(
                state,
                calls,
                steps,
                delayedTasks,
                settings.locateTimeToLive().plus(SPREAD_ALLOWANCE),
                settings.stopLimit());
    }

    @Provides
    @Singleton
    static TokenIssuer tokenIssuer(NodeIdentity identity, RunTable table) {
        return new TokenIssuer() {
            @Override
            public Incarnation incarnation() {
                return identity.incarnation();
            }

            @Override
            public Epoch epoch() {
                return table.currentEpoch();
            }
        };
    }

    @Provides
    @IntoSet
    static StateSection runs(RunTable table) {
        return NamedSection.of("runs", () -> RunState.of(table.counts()));
    }

    @Provides
    @IntoSet
    static StateSection stop(StopState state, InFlightCalls calls) {
        return NamedSection.of(
                "stop", () -> new StopSection(state.phase().name().toLowerCase(Locale.ROOT), calls.inFlight()));
    }

    private static CompletableFuture<CallResult> stopping() {
        return CompletableFuture.completedFuture(CallResult.Refused.of(ResultCode.STOPPING, ""));
    }

    private record StopSection(
            String phase, @JsonProperty("calls_in_flight") int callsInFlight) {}

    private record RunState(
            @JsonProperty("current_epoch") long currentEpoch,
            @JsonProperty("oldest_epoch") long oldestEpoch,
            @JsonProperty("in_flight") int inFlight,
            int stored,
            @JsonProperty("stored_bytes") long storedBytes) {
        static RunState of(RunCounts counts) {
            return new RunState(
                    counts.currentEpoch().number(),
                    counts.oldestEpoch().number(),
                    counts.inFlight(),
                    counts.stored(),
                    counts.storedBytes());
        }
    }
}
