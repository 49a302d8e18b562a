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
import org.turmericspan.membership.NodeLifecycle;
import org.turmericspan.membership.Peers;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.peer.PeerHandlers;
import org.turmericspan.runs.RelayedCallHandler;
import org.turmericspan.runs.RunRelay;
import org.turmericspan.runs.RunTable;
import org.turmericspan.runs.RunTableStats;
import org.turmericspan.runs.RunTokenHandler;
import org.turmericspan.runs.TaskScheduler;
import org.turmericspan.runs.TokenOwnerLookup;
import org.turmericspan.tables.WorkerPool;

/** Wires run tokens, the count of calls in flight and the planned stop. */
@Module
abstract class RunModule {
    /** Time until the other nodes have received that this node is leaving and stop returning its address. */
    private static final Duration LEAVING_PROPAGATION = Duration.ofSeconds(1);

    private RunModule() {}

    @Multibinds
    abstract Set<StopStep> stopSteps();

    @Provides
    @Singleton
    static NodeLifecycle nodeLifecycle() {
        return new NodeLifecycle();
    }

    @Provides
    @Singleton
    static RunTable runTable(NodeSettings settings, MonotonicClock clock, MetricRegistry metrics) {
        RunTable table = new RunTable(settings.runTableLimits(), clock);
        metrics.register("runs.in_flight", (Gauge<Integer>) () -> table.stats().inFlight());
        metrics.register("runs.stored", (Gauge<Integer>) () -> table.stats().stored());
        metrics.register("runs.stored_bytes", (Gauge<Long>) () -> table.stats().storedBytes());
        return table;
    }

    @Provides
    @Singleton
    static TaskScheduler taskScheduler(WorkerPool workerPool) {
        return workerPool::schedule;
    }

    @Provides
    @Singleton
    static TokenOwnerLookup tokenOwnerLookup(Peers peers) {
        return peers::findByIncarnation;
    }

    @Provides
    @Singleton
    static RunRelay runRelay(TokenOwnerLookup owners, PeerLinks links, MonotonicClock clock) {
        return new RunRelay(owners, links, clock);
    }

    @Provides
    @Singleton
    static RunTokenHandler runTokenHandler(
            NodeIdentity identity,
            ConfiguredCatalog catalog,
            RunTable table,
            RunRelay relay,
            @Named(SuspectModule.ATTEMPTS) CallHandler attempts,
            NodeLifecycle nodeLifecycle,
            MonotonicClock clock,
            TaskScheduler taskScheduler) {
        CallHandler attemptsUnlessFinishing = request ->
                nodeLifecycle.phase() == NodeLifecycle.Phase.FINISHING ? stoppingResult() : attempts.handle(request);
        return new RunTokenHandler(
                identity.incarnation(), catalog, table, relay, attemptsUnlessFinishing, clock, taskScheduler);
    }

    @Provides
    @Singleton
    static InFlightCalls inFlightCalls(
            RunTokenHandler runTokenHandler, PeerHandlers handlers, MonotonicClock clock, MetricRegistry metrics) {
        InFlightCalls calls = new InFlightCalls(runTokenHandler);
        handlers.register(
                PeerMessage.RelayCall.class,
                new RelayedCallHandler(calls.counting(runTokenHandler::handleRelayed), clock));
        metrics.register("calls.in_flight", (Gauge<Integer>) calls::inFlight);
        return calls;
    }

    @Provides
    @Singleton
    static PlannedStop plannedStop(
            NodeSettings settings,
            NodeLifecycle lifecycle,
            InFlightCalls calls,
            Set<StopStep> steps,
            TaskScheduler taskScheduler) {
        return new PlannedStop(
                lifecycle,
                calls,
                steps,
                taskScheduler,
                settings.locateTimeToLive().plus(LEAVING_PROPAGATION),
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
        return NamedSection.of("runs", () -> RunTableDump.of(table.stats()));
    }

    @Provides
    @IntoSet
    static StateSection stop(NodeLifecycle lifecycle, InFlightCalls calls) {
        return NamedSection.of(
                "stop", () -> new StopDump(lifecycle.phase().name().toLowerCase(Locale.ROOT), calls.inFlight()));
    }

    private static CompletableFuture<CallResult> stoppingResult() {
        return CompletableFuture.completedFuture(CallResult.Refused.of(ResultCode.STOPPING, ""));
    }

    private record StopDump(
            String phase, @JsonProperty("calls_in_flight") int callsInFlight) {}

    private record RunTableDump(
            @JsonProperty("current_epoch") long currentEpoch,
            @JsonProperty("oldest_epoch") long oldestEpoch,
            @JsonProperty("in_flight") int inFlight,
            int stored,
            @JsonProperty("stored_bytes") long storedBytes) {
        static RunTableDump of(RunTableStats stats) {
            return new RunTableDump(
                    stats.currentEpoch().number(),
                    stats.oldestEpoch().number(),
                    stats.inFlight(),
                    stats.stored(),
                    stats.storedBytes());
        }
    }
}
