package org.turmericspan.forwarding;

import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.AttemptResult;
import org.turmericspan.balancing.Placement;

/**
 * Checks the attempt of a request that is in flight: whether its response is overdue, or whether to hedge it. All
 * methods run on the worker of the request.
 */
final class AttemptChecks {
    /** Maximum predicted cost of an upstream for a hedged attempt: only a fast and nearly idle one is below it. */
    private static final double MAX_HEDGE_COST = 1.6;

    private final ForwardingDependencies dependencies;
    private final UpstreamSearch search;
    private final AttemptTiming timing;
    private final HedgedRequest request;
    private ScheduledFuture<?> timer;

    AttemptChecks(ForwardingDependencies dependencies, UpstreamSearch search, HedgedRequest request) {
        this.dependencies = dependencies;
        this.search = search;
        this.timing = search.timing();
        this.request = request;
    }

    /** The request whose attempts are checked. */
    interface HedgedRequest {
        /** Returns whether the request goes on and the attempt has not ended. */
        boolean isInFlight(Attempt attempt);

        /** Returns whether the request may have another attempt beside the one in flight. */
        boolean mayHedge();

        /** Starts a hedged attempt. */
        void hedge(Placement placement);
    }

    /** Checks an attempt from now on until it ends, or another one starts. */
    void watch(Attempt attempt, boolean isHedge) {
        if (!search.route().idempotent()) {
            scheduleOverdueCheck(attempt);
        } else if (!isHedge) {
            scheduleHedgeCheck(
                    attempt,
                    HedgeRule.firstCheckAge(
                            timing.typicalLatencyNanos(), search.route().targetLatencyNanos()));
        }
    }

    void stop() {
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void scheduleHedgeCheck(Attempt attempt, double checkAge) {
        schedule(attempt, checkAge, () -> checkHedge(attempt));
    }

    /** Schedules a check of an attempt at an age in units of the typical latency. */
    private void schedule(Attempt attempt, double checkAge, Runnable check) {
        stop();
        long checkAtNanos = attempt.placement().startedNanos() + (long) (checkAge * timing.typicalLatencyNanos());
        long delayNanos = Math.max(0, checkAtNanos - dependencies.clock().nowNanos());
        timer = search.context().worker().schedule(check, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void scheduleOverdueCheck(Attempt attempt) {
        schedule(attempt, timing.overdueAge(attempt), () -> checkOverdue(attempt));
    }

    /**
     * Checks the attempt of a non-idempotent request. The check is repeated if the response is not overdue, because the
     * upstream may have slowed down since the attempt started.
     */
    private void checkOverdue(Attempt attempt) {
        if (request.isInFlight(attempt) && !timing.recordIfOverdue(attempt)) {
            scheduleOverdueCheck(attempt);
        }
    }

    private void checkHedge(Attempt attempt) {
        if (mayHedge(attempt)) {
            search.refresh(attempt.placement().upstream(), () -> evaluateHedge(attempt));
        }
    }

    private boolean mayHedge(Attempt attempt) {
        return request.isInFlight(attempt)
                && request.mayHedge()
                && search.remainingNanos() >= UpstreamSearch.MIN_REMAINING_NANOS;
    }

    private void evaluateHedge(Attempt attempt) {
        double age = timing.normalizedAge(attempt);
        int slowdownPercent = dependencies
                .tables()
                .upstreams()
                .slowdownPercent(attempt.placement().upstream());
        if (HedgeRule.isWorthwhile(age, slowdownPercent)) {
            search.refreshCandidates(MAX_HEDGE_COST, () -> hedge(attempt, age));
        } else {
            scheduleHedgeCheck(attempt, HedgeRule.nextCheckAge(age));
        }
    }

    /** Starts a hedged attempt if a fast upstream is idle and the retry budget allows it. */
    private void hedge(Attempt attempt, double age) {
        if (!mayHedge(attempt)) {
            return;
        }
        RoutingDecision routingDecision = search.context().routingDecision();
        Optional<Placement> placement = dependencies.tables().upstreams().choose(search.criteria(MAX_HEDGE_COST));
        if (placement.isEmpty()) {
            scheduleHedgeCheck(attempt, HedgeRule.nextCheckAge(age));
        } else if (dependencies
                .tables()
                .retryBudget()
                .tryAcquire(routingDecision.service(), routingDecision.priority())) {
            request.hedge(placement.get());
        } else {
            dependencies.tables().upstreams().finish(placement.get(), AttemptResult.CANCELLED);
        }
    }
}
