package org.turmericspan.forwarding;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.turmericspan.balancing.AttemptResult;
import org.turmericspan.balancing.Placement;
import org.turmericspan.balancing.Route;
import org.turmericspan.balancing.SelectionCriteria;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.caps.CapDecision;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.forwarding.ForwardingMetrics.AttemptKind;
import org.turmericspan.http.CallEnd;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.Reply;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.StableHash;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.zones.RequestKind;

/**
 * Handles one request from its arrival to its single response. All methods run on the worker of the caller's
 * connection.
 */
final class ActiveRequest {
    /**
     * Divisor of the target latency that yields the maximum wait for an upstream that is fast enough. After it, the
     * request is sent to any usable upstream, or refused if there is none.
     */
    private static final int MAX_WAIT_DIVISOR = 8;
    /** Interval at which a waiting request tries again to select an upstream. */
    private static final long SELECTION_INTERVAL_MILLIS = 10;
    /** Time after the deadline for responses in transit; well below the delay that callers treat as a failure. */
    private static final long DEADLINE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Time for which a non-idempotent attempt may go on after its request has ended for the caller. */
    private static final long DETACHED_ATTEMPT_MILLIS = 1_000;
    /** Minimum time until the deadline with which an attempt is started. */
    private static final long MIN_REMAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    /** Fraction of the target latency that the expected duration may take; the rest is for variance and the network. */
    private static final double EXPECTED_DURATION_FRACTION = 0.85;
    /** Divisor of the target latency that yields the maximum wait for load reports before an upstream is chosen. */
    private static final int LOAD_REFRESH_DIVISOR = 16;
    /** Maximum predicted cost of an upstream for a hedged attempt: only a fast and nearly idle one is below it. */
    private static final double MAX_HEDGE_COST = 1.6;

    private final ForwardingDependencies dependencies;
    private final RequestMessage request;
    private final Reply reply;
    private final RoutingDecision routingDecision;
    private final Route route;
    private final long deadlineNanos;
    private final long arrivedNanos;
    private final String requestId;
    private final RequestLog log;
    private final UpstreamTable upstreams;
    private final HeaderList headers;
    private final Consumer<ActiveRequest> closedListener;
    private final Entitlement entitlement;
    private final LoadRefresher loadRefresher;
    private final AttemptTiming timing;
    private final double zoneDraw;
    private final Set<UpstreamId> triedUpstreams = new HashSet<>();
    private final Set<Attempt> attemptsInFlight = new HashSet<>();
    private ScheduledFuture<?> deadlineTimer;
    private ScheduledFuture<?> checkTimer;
    private ResponseMessage serverError;
    private int sentAttempts;
    private boolean mayHaveRun;
    private boolean closed;

    ActiveRequest(
            ForwardingDependencies dependencies,
            RequestMessage request,
            Reply reply,
            RoutingDecision routingDecision,
            long arrivedNanos,
            long deadlineNanos,
            Consumer<ActiveRequest> closedListener) {
        this.dependencies = dependencies;
        this.request = request;
        this.reply = reply;
        this.routingDecision = routingDecision;
        this.route = routingDecision.route();
        this.deadlineNanos = deadlineNanos;
        this.arrivedNanos = arrivedNanos;
        this.closedListener = closedListener;
        this.requestId = dependencies.protocol().requestId(request.headers()).orElse("-");
        this.log = new RequestLog(dependencies.log(), dependencies.clock(), requestId, routingDecision, arrivedNanos);
        this.upstreams = dependencies.tables().upstreams();
        this.headers =
                dependencies.protocol().identifiedHeaders(request.headers().endToEnd(), routingDecision.identity());
        this.entitlement = new Entitlement(dependencies, request.headers(), routingDecision);
        this.loadRefresher = new LoadRefresher(upstreams, dependencies.loadProber(), reply.worker());
        this.timing = new AttemptTiming(upstreams, route, dependencies.clock(), log);
        this.zoneDraw = StableHash.fraction(StableHash.combine(StableHash.of(requestId), arrivedNanos));
    }

    void start() {
        reply.onCallerGone(this::callerDisconnected);
        long remainingNanos =
                deadlineNanos + DEADLINE_GRACE_NANOS - dependencies.clock().nowNanos();
        deadlineTimer = reply.worker().schedule(this::deadlinePassed, remainingNanos, TimeUnit.NANOSECONDS);
        entitlement.charge(decision -> reply.worker().execute(() -> capDecided(decision)), this::beginAttempts);
    }

    private void capDecided(CapDecision decision) {
        log.capDecided(decision);
        if (closed) {
            return;
        }
        if (decision.isAdmitted()) {
            beginAttempts();
        } else {
            refuse(
                    decision.outcome() == CapDecision.Outcome.OVER_CAP ? ResultCode.OVER_CAP : ResultCode.CAP_UNDECIDED,
                    decision.retryAfterMillis());
        }
    }

    private void beginAttempts() {
        dependencies.tables().observer().begun(routingDecision.service(), this::kind);
        selectUpstream(AttemptKind.FIRST);
    }

    private void selectUpstream(AttemptKind kind) {
        loadRefresher.refreshCandidates(
                selectionCriteria(Double.MAX_VALUE), loadRefreshNanos(), () -> startAttemptOrWait(kind));
    }

    private SelectionCriteria selectionCriteria(double maxCost) {
        double maxSlowdown =
                timing.maxSlowdown(deadlineNanos - dependencies.clock().nowNanos());
        return new SelectionCriteria(
                route.id(),
                routingDecision.service(),
                triedUpstreams,
                routingDecision.priority(),
                maxCost,
                maxSlowdown,
                zoneDraw);
    }

    private RequestKind kind() {
        long workNanos = upstreams.typicalLatencyNanos(route.id());
        return new RequestKind(route.id(), workNanos, route.targetLatencyNanos(), request.body().length);
    }

    /**
     * Returns the maximum cost at which a response is expected within the target latency. If no upstream meets it, the
     * request waits, because a slot at a better upstream is likely to become free soon.
     */
    private double maxInTimeCost(long waitedNanos) {
        return (EXPECTED_DURATION_FRACTION * route.targetLatencyNanos() - waitedNanos) / timing.typicalLatencyNanos();
    }

    private long loadRefreshNanos() {
        return route.targetLatencyNanos() / LOAD_REFRESH_DIVISOR;
    }

    private void startAttemptOrWait(AttemptKind kind) {
        if (closed) {
            return;
        }
        Optional<ResultCode> withdrawal = entitlement.withdrawal();
        if (withdrawal.isPresent()) {
            fail(withdrawal.get());
            return;
        }
        long now = dependencies.clock().nowNanos();
        long waitedNanos = now - arrivedNanos;
        long remainingWaitNanos = route.targetLatencyNanos() / MAX_WAIT_DIVISOR - waitedNanos;
        Optional<Placement> placement = deadlineNanos - now < MIN_REMAINING_NANOS
                ? Optional.empty()
                : upstreams.choose(
                        selectionCriteria(remainingWaitNanos > 0 ? maxInTimeCost(waitedNanos) : Double.MAX_VALUE));
        if (placement.isPresent()) {
            startAttempt(placement.get(), kind);
        } else if (deadlineNanos - now > MIN_REMAINING_NANOS && isWaitWorthwhile(remainingWaitNanos)) {
            reply.worker().schedule(() -> selectUpstream(kind), SELECTION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            fail(ResultCode.NO_CAPACITY);
        }
    }

    /** Returns whether an upstream may take the request within the remaining wait, by what the upstreams said. */
    private boolean isWaitWorthwhile(long remainingWaitNanos) {
        return remainingWaitNanos > 0
                && upstreams.untilAdmissionNanos(selectionCriteria(Double.MAX_VALUE)) < remainingWaitNanos;
    }

    private void startAttempt(Placement placement, AttemptKind kind) {
        Attempt attempt = new Attempt(placement);
        attemptsInFlight.add(attempt);
        triedUpstreams.add(placement.upstream());
        sentAttempts++;
        dependencies.metrics().attempted(kind, placement.observationAgeNanos());
        log.chosen(placement, kind);
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(
                deadlineNanos - dependencies.clock().nowNanos());
        RequestMessage message = new RequestMessage(
                request.method(),
                request.target(),
                dependencies.protocol().attemptHeaders(headers, Math.max(1, remainingMillis), placement.upstream()),
                request.body());
        attempt.setHandle(dependencies
                .client()
                .call(
                        placement.address(),
                        message,
                        AttemptOptions.of(
                                route.idempotent(), dependencies.protocol().echoHeader()),
                        end -> reply.worker().execute(() -> attemptEnded(attempt, end))));
        if (!route.idempotent()) {
            scheduleOverdueCheck(attempt);
        } else if (kind != AttemptKind.HEDGE) {
            scheduleHedgeCheck(
                    attempt, HedgeRule.firstCheckAge(timing.typicalLatencyNanos(), route.targetLatencyNanos()));
        }
    }

    private void scheduleHedgeCheck(Attempt attempt, double checkAge) {
        scheduleCheck(attempt, checkAge, () -> checkHedge(attempt));
    }

    /** Schedules a check of an attempt at an age in units of the typical latency. */
    private void scheduleCheck(Attempt attempt, double checkAge, Runnable check) {
        cancelTimer(checkTimer);
        long checkAtNanos = attempt.placement().startedNanos() + (long) (checkAge * timing.typicalLatencyNanos());
        long delayNanos = Math.max(0, checkAtNanos - dependencies.clock().nowNanos());
        checkTimer = reply.worker().schedule(check, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void scheduleOverdueCheck(Attempt attempt) {
        scheduleCheck(attempt, timing.overdueAge(attempt), () -> checkOverdue(attempt));
    }

    /**
     * Checks the attempt of a non-idempotent request. The check is repeated if the response is not overdue, because the
     * upstream may have slowed down since the attempt started.
     */
    private void checkOverdue(Attempt attempt) {
        if (!closed && attemptsInFlight.contains(attempt) && !timing.recordIfOverdue(attempt)) {
            scheduleOverdueCheck(attempt);
        }
    }

    private void checkHedge(Attempt attempt) {
        if (mayHedge(attempt)) {
            loadRefresher.refresh(attempt.placement().upstream(), loadRefreshNanos(), () -> evaluateHedge(attempt));
        }
    }

    private boolean mayHedge(Attempt attempt) {
        return !closed
                && sentAttempts < route.maxAttempts()
                && attemptsInFlight.contains(attempt)
                && entitlement.withdrawal().isEmpty()
                && deadlineNanos - dependencies.clock().nowNanos() >= MIN_REMAINING_NANOS;
    }

    private void evaluateHedge(Attempt attempt) {
        double age = timing.normalizedAge(attempt);
        int slowdownPercent = upstreams.slowdownPercent(attempt.placement().upstream());
        if (HedgeRule.isWorthwhile(age, slowdownPercent)) {
            loadRefresher.refreshCandidates(
                    selectionCriteria(MAX_HEDGE_COST), loadRefreshNanos(), () -> hedge(attempt, age));
        } else {
            scheduleHedgeCheck(attempt, HedgeRule.nextCheckAge(age));
        }
    }

    /** Starts a hedged attempt if a fast upstream is idle and the retry budget allows it. */
    private void hedge(Attempt attempt, double age) {
        if (!mayHedge(attempt)) {
            return;
        }
        Optional<Placement> placement = upstreams.choose(selectionCriteria(MAX_HEDGE_COST));
        if (placement.isEmpty()) {
            scheduleHedgeCheck(attempt, HedgeRule.nextCheckAge(age));
        } else if (dependencies
                .tables()
                .retryBudget()
                .tryAcquire(routingDecision.service(), routingDecision.priority())) {
            startAttempt(placement.get(), AttemptKind.HEDGE);
        } else {
            upstreams.finish(placement.get(), AttemptResult.CANCELLED);
        }
    }

    private void attemptEnded(Attempt attempt, CallEnd end) {
        attemptsInFlight.remove(attempt);
        if (end instanceof CallEnd.Answered answered) {
            responseReceived(attempt, answered.response());
        } else if (end instanceof CallEnd.NotSent notSent) {
            requestNotSent(attempt, notSent);
        } else if (end instanceof CallEnd.Broken broken) {
            connectionBroken(attempt, broken);
        }
    }

    private void responseReceived(Attempt attempt, ResponseMessage response) {
        dependencies
                .protocol()
                .reportedLoad(response)
                .ifPresent(load -> upstreams.recordLoad(attempt.placement().upstream(), load));
        if (dependencies.protocol().isWrongInstance(response)) {
            recordFailure(attempt, AttemptResult.WRONG_INSTANCE, "another upstream responded at the address");
            retryOrFail(true);
            return;
        }
        dependencies.notices().record(attempt.placement().upstream(), response, requestId);
        if (dependencies.protocol().provesNotExecuted(response)) {
            recordFailure(attempt, AttemptResult.SHED, "not executed, status " + response.status());
            retryOrFail(true);
        } else if (response.isServerError()) {
            recordFailure(attempt, AttemptResult.SERVER_ERROR, "status " + response.status());
            serverError = response;
            mayHaveRun = true;
            retryOrFail(route.idempotent());
        } else if (response.isSuccess() && !dependencies.protocol().isSigned(response)) {
            connectionBroken(attempt, new CallEnd.Broken("success without a signature"));
        } else {
            upstreams.finish(attempt.placement(), AttemptResult.SUCCESS);
            attemptsInFlight.forEach(other -> timing.recordIfOutrun(other, attempt));
            respond(response);
        }
    }

    private void requestNotSent(Attempt attempt, CallEnd.NotSent end) {
        sentAttempts--;
        recordFailure(attempt, AttemptResult.CONNECT_FAILED, end.reason());
        dependencies.tables().suspects().recordUpstreamLoss(attempt.placement().upstream());
        if (!closed && attemptsInFlight.isEmpty()) {
            selectUpstream(AttemptKind.RETRY);
        }
    }

    private void connectionBroken(Attempt attempt, CallEnd.Broken end) {
        recordFailure(attempt, AttemptResult.BROKEN, end.reason());
        mayHaveRun = true;
        dependencies
                .tables()
                .suspects()
                .recordConnectionLoss(
                        routingDecision.fingerprint(), attempt.placement().upstream());
        loadRefresher.refreshInBackground(attempt.placement().upstream());
        retryOrFail(route.idempotent());
    }

    private void recordFailure(Attempt attempt, AttemptResult result, String reason) {
        upstreams.finish(attempt.placement(), result);
        log.failed(attempt.placement().upstream(), result, reason);
    }

    /** Retries the request at another upstream if this is permitted, and fails it otherwise. */
    private void retryOrFail(boolean permitted) {
        if (closed || !attemptsInFlight.isEmpty()) {
            return;
        }
        if (permitted
                && sentAttempts < route.maxAttempts()
                && !dependencies.tables().suspects().isQuarantined(routingDecision.fingerprint())
                && dependencies
                        .tables()
                        .retryBudget()
                        .tryAcquire(routingDecision.service(), routingDecision.priority())) {
            selectUpstream(AttemptKind.RETRY);
        } else {
            fail(ResultCode.SHED_BY_UPSTREAM);
        }
    }

    private void fail(ResultCode codeIfNotRun) {
        if (!attemptsInFlight.isEmpty()) {
            return;
        }
        if (serverError != null) {
            respond(serverError);
        } else if (mayHaveRun) {
            refuse(ResultCode.OUTCOME_UNKNOWN);
        } else {
            refuse(codeIfNotRun);
        }
    }

    /** Ends the request because the process ends. */
    void endBeforeProcess() {
        reply.worker().execute(() -> {
            if (!closed) {
                endWith(ResultCode.STOPPING, ResultCode.OUTCOME_UNKNOWN);
            }
        });
    }

    private void deadlinePassed() {
        if (!closed) {
            endWith(ResultCode.DEADLINE_BEFORE_SEND, ResultCode.DEADLINE_AFTER_SEND);
        }
    }

    /** Ends the request without waiting for its attempts. An error that an upstream responded with takes precedence. */
    private void endWith(ResultCode codeIfNotRun, ResultCode codeIfMayHaveRun) {
        if (serverError != null) {
            respond(serverError);
        } else {
            refuse(attemptsInFlight.isEmpty() && !mayHaveRun ? codeIfNotRun : codeIfMayHaveRun);
        }
    }

    private void refuse(ResultCode code) {
        dependencies.metrics().refused(code);
        if (code == ResultCode.NO_CAPACITY) {
            log.refused(code, upstreams.capacity(selectionCriteria(Double.MAX_VALUE)));
        } else {
            log.refused(code);
        }
        long untilAdmissionNanos =
                code == ResultCode.NO_CAPACITY ? upstreams.untilAdmissionNanos(selectionCriteria(Double.MAX_VALUE)) : 0;
        complete(LocalReply.of(code, RetryAfterRule.delayMillis(code, route, untilAdmissionNanos, requestId)));
    }

    private void refuse(ResultCode code, long retryAfterMillis) {
        dependencies.metrics().refused(code);
        log.refused(code);
        complete(LocalReply.of(code, retryAfterMillis));
    }

    private void respond(ResponseMessage response) {
        if (closed) {
            return;
        }
        log.responded(response.status());
        dependencies.tables().observer().answered(routingDecision.service(), route.id(), response.body().length);
        complete(new ResponseMessage(response.status(), response.headers().endToEnd(), response.body()));
    }

    private void complete(ResponseMessage response) {
        close();
        dependencies
                .metrics()
                .answered(
                        routingDecision.service(),
                        response.status(),
                        dependencies.clock().nowNanos() - arrivedNanos);
        reply.send(response);
    }

    private void callerDisconnected() {
        if (!closed) {
            close();
            log.callerDisconnected();
        }
    }

    private void close() {
        closed = true;
        closedListener.accept(this);
        cancelTimer(deadlineTimer);
        cancelTimer(checkTimer);
        for (Attempt attempt : Set.copyOf(attemptsInFlight)) {
            timing.recordIfOverdue(attempt);
            detach(attempt);
        }
    }

    /** Cancels an idempotent attempt immediately. Any other may have side effects, so it gets time to finish first. */
    private void detach(Attempt attempt) {
        if (route.idempotent()) {
            cancelAttempt(attempt);
        } else {
            reply.worker().schedule(() -> cancelAttempt(attempt), DETACHED_ATTEMPT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void cancelAttempt(Attempt attempt) {
        if (attemptsInFlight.remove(attempt)) {
            upstreams.finish(attempt.placement(), AttemptResult.CANCELLED);
            attempt.cancel();
        }
    }

    private static void cancelTimer(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
