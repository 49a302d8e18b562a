package org.turmericspan.node;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.annotation.JsonProperty;
import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import javax.inject.Singleton;
import org.turmericspan.calls.SlotSource;
import org.turmericspan.config.Service;
import org.turmericspan.dispatch.AttemptDependencies;
import org.turmericspan.dispatch.AttemptHandler;
import org.turmericspan.dispatch.AttemptTimer;
import org.turmericspan.dispatch.CrashDetector;
import org.turmericspan.dispatch.RetryPolicies;
import org.turmericspan.front.StateSection;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.ConfigurationTable;
import org.turmericspan.retry.HedgePolicy;
import org.turmericspan.retry.LatencyTable;
import org.turmericspan.retry.RetryBudgetTable;
import org.turmericspan.retry.RetryPolicy;
import org.turmericspan.tables.WorkerPool;
import org.turmericspan.upstream.HttpUpstreamSender;

/** Wires the attempts of calls: the HTTP client for upstreams, and retries and hedges within the retry budget. */
@Module
final class AttemptModule {
    private static final String NO_RETRIES = "none";
    private static final String HEDGES = "hedges";
    private static final double RETRY_LATENCY_QUANTILE = 0.5;
    private static final double HEDGE_QUANTILE = 0.95;
    private static final double STALL_QUANTILE = 0.99;

    private AttemptModule() {}

    @Provides
    @Singleton
    static HttpUpstreamSender upstreamSender(MonotonicClock clock) {
        return new HttpUpstreamSender(clock);
    }

    @Provides
    @Singleton
    static RetryBudgetTable retryBudgets(ConfigurationTable configurations) {
        return new RetryBudgetTable(service -> Optional.ofNullable(
                        configurations.current().services().get(service))
                .map(Service::retryPercent)
                .orElse(0));
    }

    @Provides
    @Singleton
    static LatencyTable latencies() {
        return new LatencyTable();
    }

    @Provides
    @Singleton
    static RetryPolicies retryPolicies(NodeSettings settings, RetryBudgetTable retryBudgets, LatencyTable latencies) {
        if (settings.retryPolicy().equals(NO_RETRIES)) {
            return RetryPolicies.none();
        }
        HedgePolicy hedge = settings.retryPolicy().equals(HEDGES)
                ? HedgePolicy.afterQuantile(latencies.quantile(HEDGE_QUANTILE))
                : HedgePolicy.whenStalled(latencies.quantile(STALL_QUANTILE));
        return new RetryPolicies(RetryPolicy.whenSafe(latencies.quantile(RETRY_LATENCY_QUANTILE)), hedge, retryBudgets);
    }

    @Provides
    @Singleton
    static AttemptTimer attemptTimer(WorkerPool workerPool) {
        return (delay, task) -> {
            ScheduledFuture<?> scheduled = workerPool.schedule(delay, task);
            return () -> scheduled.cancel(false);
        };
    }

    @Provides
    @Singleton
    static AttemptHandler attemptHandler(
            ConfiguredCatalog catalog,
            SlotSource slots,
            HttpUpstreamSender sender,
            CrashDetector crashDetector,
            RetryPolicies policies,
            CallMetrics metrics,
            AttemptTimer timer,
            MonotonicClock clock) {
        return new AttemptHandler(
                new AttemptDependencies(catalog, slots, sender, crashDetector, timer, metrics, clock), policies);
    }

    @Provides
    @Singleton
    static CallMetrics callMetrics(MetricRegistry metrics, RetryBudgetTable retryBudgets, LatencyTable latencies) {
        return new CallMetrics(metrics, retryBudgets, latencies);
    }

    @Provides
    @IntoSet
    static StateSection retryBudgetSection(RetryBudgetTable table) {
        return NamedSection.of(
                "repeat_budgets",
                () -> table.dump().stream().map(RetryBudgetDump::of).toList());
    }

    /** Retry budget of one service. The state dump calls retries and hedges repeats. */
    private record RetryBudgetDump(
            String service,
            long calls,
            long repeats,
            @JsonProperty("refused_repeats") long rejectedExtraAttempts,
            @JsonProperty("repeats_left") double availableExtraAttempts) {
        static RetryBudgetDump of(RetryBudgetTable.BudgetState state) {
            return new RetryBudgetDump(
                    state.service().value(), state.calls(), state.admitted(), state.rejected(), state.available());
        }
    }
}
