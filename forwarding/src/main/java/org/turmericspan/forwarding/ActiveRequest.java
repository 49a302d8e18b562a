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
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.caps.CapDecision;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.forwarding.ForwardingMetrics.AttemptKind;
import org.turmericspan.http.CallEnd;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.Reply;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.zones.RequestKind;

/**
 * Handles one request from its arrival to its single response. All methods run on the worker of the caller's
 * connection.
 */
final class ActiveRequest {
    /** Time after the deadline for responses in transit; well below the delay that callers treat as a failure. */
    private static final long DEADLINE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Time for which a non-idempotent attempt may go on after its request has ended for the caller. */
    private static final long DETACHED_ATTEMPT_MILLIS = 1_000;

    private final ForwardingDependencies dependencies;
    private final RequestMessage request;
    private final Reply reply;
    private final RoutingDecision routingDecision;
    private final Route route;
    private final RequestContext context;
    private final RequestLog log;
    private final UpstreamTable upstreams;
    private final UpstreamWaits waits;
    private final HeaderList headers;
    private final Consumer<ActiveRequest> closedListener;
    private final Entitlement entitlement;
    private final LoadRefresher loadRefresher;
    private final AttemptTiming timing;
    private final UpstreamSearch search;
    private final AttemptChecks checks;
    private final Set<UpstreamId> triedUpstreams = new HashSet<>();
    private final Set<Attempt> attemptsInFlight = new HashSet<>();
    /** Attempts that are in flight or have ended, except those that are proven not to have run. */
    private final Set<Attempt> unprovenAttempts = new HashSet<>();

    private ScheduledFuture<?> deadlineTimer;
    private AttemptKind searchedKind = AttemptKind.FIRST;
    private ResponseMessage serverError;
    private int sentAttempts;
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
        this.closedListener = closedListener;
        String requestId = dependencies.protocol().requestId(request.headers()).orElse("-");
        this.log = new RequestLog(dependencies.log(), dependencies.clock(), requestId, routingDecision, arrivedNanos);
        this.context = new RequestContext(
                requestId,
                routingDecision,
                reply,
                arrivedNanos,
                deadlineNanos,
                RequestContext.callerDeadlineNanos(
                        dependencies.protocol().deadlineMillis(request.headers()), arrivedNanos, deadlineNanos),
                log);
        this.upstreams = dependencies.tables().upstreams();
        this.waits = dependencies.tables().waits();
        this.headers =
                dependencies.protocol().identifiedHeaders(request.headers().endToEnd(), routingDecision.identity());
        this.entitlement = new Entitlement(dependencies, request.headers(), routingDecision);
        this.loadRefresher = new LoadRefresher(upstreams, dependencies.loadProber(), reply.worker());
        this.timing = new AttemptTiming(upstreams, route, dependencies.clock(), log);
        this.search =
                new UpstreamSearch(context, dependencies, triedUpstreams, loadRefresher, timing, new SearchListener());
        this.checks = new AttemptChecks(dependencies, search, new Hedges());
    }

    /** Goes on with the request when the search for an upstream has ended. */
    private final class SearchListener implements UpstreamSearch.Listener {
        @Override
        public boolean mayContinue() {
            if (closed) {
                return false;
            }
            Optional<ResultCode> withdrawal = entitlement.withdrawal();
            withdrawal.ifPresent(ActiveRequest.this::fail);
            return withdrawal.isEmpty();
        }

        @Override
        public void placed(Placement placement) {
            startAttempt(placement, searchedKind);
        }

        @Override
        public void refused(ResultCode code) {
            fail(code);
        }
    }

    /** Decides on hedged attempts by the state of the request. */
    private final class Hedges implements AttemptChecks.HedgedRequest {
        @Override
        public boolean isInFlight(Attempt attempt) {
            return !closed && attemptsInFlight.contains(attempt);
        }

        @Override
        public boolean mayHedge() {
            return sentAttempts < route.maxAttempts()
                    && entitlement.withdrawal().isEmpty();
        }

        @Override
        public void hedge(Placement placement) {
            startAttempt(placement, AttemptKind.HEDGE);
        }
    }

    void start() {
        reply.onCallerGone(this::callerDisconnected);
        long remainingNanos = context.deadlineNanos()
                + DEADLINE_GRACE_NANOS
                - dependencies.clock().nowNanos();
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
        searchedKind = kind;
        waits.find(search);
    }

    private RequestKind kind() {
        long workNanos = upstreams.typicalLatencyNanos(route.id());
        return new RequestKind(route.id(), workNanos, route.targetLatencyNanos(), request.body().length);
    }

    private void startAttempt(Placement placement, AttemptKind kind) {
        Attempt attempt = new Attempt(placement);
        attemptsInFlight.add(attempt);
        unprovenAttempts.add(attempt);
        waits.attemptStarted(search);
        triedUpstreams.add(placement.upstream());
        sentAttempts++;
        dependencies.metrics().attempted(kind, placement.observationAgeNanos());
        log.chosen(placement, kind);
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(search.remainingNanos());
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
        checks.watch(attempt, kind == AttemptKind.HEDGE);
    }

    private void attemptEnded(Attempt attempt, CallEnd end) {
        removeInFlight(attempt);
        if (end instanceof CallEnd.Answered answered) {
            responseReceived(attempt, answered.response());
        } else if (end instanceof CallEnd.NotSent notSent) {
            requestNotSent(attempt, notSent);
        } else if (end instanceof CallEnd.Broken broken) {
            connectionBroken(attempt, broken);
        }
    }

    private boolean removeInFlight(Attempt attempt) {
        boolean isRemoved = attemptsInFlight.remove(attempt);
        if (isRemoved) {
            waits.attemptEnded(search);
        }
        return isRemoved;
    }

    private void responseReceived(Attempt attempt, ResponseMessage response) {
        UpstreamId upstream = attempt.placement().upstream();
        dependencies
                .notices()
                .load(upstream, response, context.requestId())
                .ifPresent(load -> upstreams.recordLoad(upstream, load));
        if (dependencies.protocol().isWrongInstance(response)) {
            unprovenAttempts.remove(attempt);
            recordFailure(attempt, AttemptResult.WRONG_INSTANCE, "another upstream responded at the address");
            retryOrFail(true);
            return;
        }
        dependencies.notices().record(upstream, response, context.requestId());
        if (provesNotExecuted(response)) {
            unprovenAttempts.remove(attempt);
            recordFailure(attempt, AttemptResult.SHED, "not executed, status " + response.status());
            retryOrFail(true);
        } else if (promisesTooMuch(response) || !route.idempotent() && promisesNotRun(response)) {
            recordFailure(attempt, AttemptResult.SERVER_ERROR, "unproven refusal, status " + response.status());
            retryOrFail(route.idempotent());
        } else if (response.isServerError()) {
            recordFailure(attempt, AttemptResult.SERVER_ERROR, "status " + response.status());
            serverError = response;
            retryOrFail(route.idempotent());
        } else if (response.isSuccess() && dependencies.protocol().provesNotExecuted(response)) {
            connectionBroken(attempt, new CallEnd.Broken("success that states that it was not executed"));
        } else if (response.isSuccess() && !dependencies.protocol().isSigned(response)) {
            connectionBroken(attempt, new CallEnd.Broken("success without a signature"));
        } else {
            upstreams.finish(attempt.placement(), AttemptResult.SUCCESS);
            attemptsInFlight.forEach(other -> timing.recordIfOutrun(other, attempt));
            respond(response);
        }
    }

    /** Returns whether a refusal proves that the request did not run; any other status contradicts the proof. */
    private boolean provesNotExecuted(ResponseMessage response) {
        return (response.isClientError() || promisesNotRun(response))
                && dependencies.protocol().provesNotExecuted(response);
    }

    private boolean promisesNotRun(ResponseMessage response) {
        return dependencies.protocol().promisesNotRun(response.status());
    }

    /** Returns whether the status of a response promises that nothing ran though another attempt may have run. */
    private boolean promisesTooMuch(ResponseMessage response) {
        return promisesNotRun(response) && unprovenAttempts.size() > 1;
    }

    private void requestNotSent(Attempt attempt, CallEnd.NotSent end) {
        sentAttempts--;
        unprovenAttempts.remove(attempt);
        recordFailure(attempt, AttemptResult.CONNECT_FAILED, end.reason());
        dependencies.tables().suspects().recordUpstreamLoss(attempt.placement().upstream());
        if (!closed && attemptsInFlight.isEmpty()) {
            selectUpstream(AttemptKind.RETRY);
        }
    }

    private void connectionBroken(Attempt attempt, CallEnd.Broken end) {
        recordFailure(attempt, AttemptResult.BROKEN, end.reason());
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
        endWith(codeIfNotRun, ResultCode.OUTCOME_UNKNOWN);
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

    /** Ends the request without a success. An error that an upstream responded with takes precedence. */
    private void endWith(ResultCode codeIfNotRun, ResultCode codeIfMayHaveRun) {
        if (serverError != null && !promisesTooMuch(serverError)) {
            respond(serverError);
        } else {
            refuse(unprovenAttempts.isEmpty() ? codeIfNotRun : codeIfMayHaveRun);
        }
    }

    private void refuse(ResultCode code) {
        dependencies.metrics().refused(code);
        if (code == ResultCode.NO_CAPACITY || code == ResultCode.QUEUE_FULL) {
            log.refused(code, upstreams.capacity(search.criteria()));
        } else {
            log.refused(code);
        }
        complete(LocalReply.of(code, waits.retryAfterMillis(code, search)));
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
                        dependencies.clock().nowNanos() - context.arrivedNanos());
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
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        checks.stop();
        waits.end(search);
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
        if (removeInFlight(attempt)) {
            upstreams.finish(attempt.placement(), AttemptResult.CANCELLED);
            attempt.cancel();
        }
    }
}
