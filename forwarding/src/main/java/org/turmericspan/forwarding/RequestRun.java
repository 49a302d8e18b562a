package org.turmericspan.forwarding;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.AttemptResult;
import org.turmericspan.balancing.Placement;
import org.turmericspan.balancing.Route;
import org.turmericspan.balancing.SelectionCriteria;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.forwarding.ForwardingMetrics.AttemptKind;
import org.turmericspan.http.CallEnd;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.Reply;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.UpstreamId;

/** One request from its arrival to its one answer. All of it runs on the worker of the caller's connection. */
final class RequestRun {
    /** Part of the target latency for which a request may wait for an upstream before it is refused. */
    private static final int WAIT_PART = 8;
    /** Pause between looks for an upstream while a request waits. */
    private static final long WAIT_STEP_MILLIS = 10;
    /** Time beyond the deadline that is left to an answer on its way, well below what callers hold against a node. */
    private static final long ANSWER_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    /** Time after which an abandoned attempt of a non-idempotent request is cut off. */
    private static final long ABANDON_MILLIS = 1_000;
    /** Shortest time left with which an attempt is worth making. */
    private static final long LEAST_LEFT_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    /** Part of the target latency in which a request is expected to end; the rest is for its spread and the way. */
    private static final double IN_TIME_PART = 0.85;
    /** Part of the target latency for which a choice may wait for the load of upstreams. */
    private static final int LOOKUP_PART = 16;
    /** Highest predicted cost of an upstream that takes a hedge: fast now, and nearly idle. */
    private static final double HEDGE_MAX_COST = 1.6;
    /** Part of the target latency advised as pause to a caller that found no room. */
    private static final int RETRY_AFTER_PART = 4;
    /** Pause advised after upstreams turned the request away, which says little about the next moment. */
    private static final long SHED_RETRY_MILLIS = 20;

    private final ForwardingDependencies dependencies;
    private final RequestMessage request;
    private final Reply reply;
    private final RunTarget target;
    private final Route route;
    private final long deadlineNanos;
    private final long arrivedNanos;
    private final RunLog log;
    private final UpstreamTable upstreams;
    private final HeaderList headers;
    private final FreshLoad freshLoad;
    private final AttemptAge age;
    private final Set<UpstreamId> tried = new HashSet<>();
    private final Set<Attempt> active = new HashSet<>();
    private ScheduledFuture<?> deadlineTimer;
    private ScheduledFuture<?> lookTimer;
    private ResponseMessage serverError;
    private int sent;
    private boolean mayHaveRun;
    private boolean ended;

    RequestRun(
            ForwardingDependencies dependencies,
            RequestMessage request,
            Reply reply,
            RunTarget target,
            long arrivedNanos,
            long deadlineNanos) {
        this.dependencies = dependencies;
        this.request = request;
        this.reply = reply;
        this.target = target;
        this.route = target.route();
        this.deadlineNanos = deadlineNanos;
        this.arrivedNanos = arrivedNanos;
        String requestId = dependencies.protocol().requestId(request.headers()).orElse("-");
        this.log = new RunLog(dependencies.log(), dependencies.clock(), requestId, target, arrivedNanos);
        this.upstreams = dependencies.tables().upstreams();
        this.headers = request.headers().endToEnd();
        this.freshLoad = new FreshLoad(upstreams, dependencies.loadProber(), reply.worker());
        this.age = new AttemptAge(upstreams, route, dependencies.clock(), log);
    }

    void start() {
        reply.onCallerGone(this::callerGone);
        long leftNanos =
                deadlineNanos + ANSWER_GRACE_NANOS - dependencies.clock().nowNanos();
        deadlineTimer = reply.worker().schedule(this::deadlinePassed, leftNanos, TimeUnit.NANOSECONDS);
        place(AttemptKind.FIRST);
    }

    private void place(AttemptKind kind) {
        freshLoad.beforeChoice(choice(Double.MAX_VALUE), lookupNanos(), () -> choose(kind));
    }

    private SelectionCriteria choice(double maxCost) {
        double maxSlowdown =
                age.maxSlowdown(deadlineNanos - dependencies.clock().nowNanos());
        return new SelectionCriteria(route.id(), target.service(), tried, route.priority(), maxCost, maxSlowdown);
    }

    /** Returns the highest cost at which an answer is expected in time; a slot on a better upstream is soon free. */
    private double inTimeCost(long waitedNanos) {
        return (IN_TIME_PART * route.targetLatencyNanos() - waitedNanos) / age.typicalLatencyNanos();
    }

    private long lookupNanos() {
        return route.targetLatencyNanos() / LOOKUP_PART;
    }

    private void choose(AttemptKind kind) {
        if (ended) {
            return;
        }
        long now = dependencies.clock().nowNanos();
        long waitedNanos = now - arrivedNanos;
        boolean mayWait = waitedNanos < route.targetLatencyNanos() / WAIT_PART;
        Optional<Placement> placement = deadlineNanos - now < LEAST_LEFT_NANOS
                ? Optional.empty()
                : upstreams.choose(choice(mayWait ? inTimeCost(waitedNanos) : Double.MAX_VALUE));
        if (placement.isPresent()) {
            attempt(placement.get(), kind);
        } else if (mayWait && deadlineNanos - now > LEAST_LEFT_NANOS) {
            reply.worker().schedule(() -> place(kind), WAIT_STEP_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            giveUp(ResultCode.NO_CAPACITY);
        }
    }

    private void attempt(Placement placement, AttemptKind kind) {
        Attempt attempt = new Attempt(placement);
        active.add(attempt);
        tried.add(placement.upstream());
        sent++;
        dependencies.metrics().attempted(kind, placement.observationAgeNanos());
        log.chosen(placement, kind);
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(
                deadlineNanos - dependencies.clock().nowNanos());
        RequestMessage message = new RequestMessage(
                request.method(),
                request.target(),
                dependencies.protocol().attemptHeaders(headers, Math.max(1, leftMillis), placement.upstream()),
                request.body());
        attempt.started(dependencies
                .client()
                .call(
                        placement.address(),
                        message,
                        AttemptOptions.of(
                                route.idempotent(), dependencies.protocol().echoHeader()),
                        end -> reply.worker().execute(() -> ended(attempt, end))));
        if (!route.idempotent()) {
            scheduleOverdueLook(attempt);
        } else if (kind != AttemptKind.HEDGE) {
            scheduleHedge(attempt, HedgeRule.firstLook());
        }
    }

    private void scheduleHedge(Attempt attempt, double atTypical) {
        scheduleLook(attempt, atTypical, () -> look(attempt));
    }

    /** Looks at an attempt again at a time that is given in units of the typical latency. */
    private void scheduleLook(Attempt attempt, double atTypical, Runnable look) {
        cancelTimer(lookTimer);
        long atNanos = attempt.placement().startedNanos() + (long) (atTypical * age.typicalLatencyNanos());
        long delayNanos = Math.max(0, atNanos - dependencies.clock().nowNanos());
        lookTimer = reply.worker().schedule(look, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void scheduleOverdueLook(Attempt attempt) {
        scheduleLook(attempt, age.overdueAt(attempt), () -> lookOverdue(attempt));
    }

    /** Looks at the one attempt of a request that must not run twice; its upstream may have slowed down meanwhile. */
    private void lookOverdue(Attempt attempt) {
        if (!ended && active.contains(attempt) && !age.noteIfOverdue(attempt)) {
            scheduleOverdueLook(attempt);
        }
    }

    private void look(Attempt attempt) {
        if (mayHedge(attempt)) {
            freshLoad.of(attempt.placement().upstream(), lookupNanos(), () -> considerHedge(attempt));
        }
    }

    private boolean mayHedge(Attempt attempt) {
        return !ended
                && sent < route.maxAttempts()
                && active.contains(attempt)
                && deadlineNanos - dependencies.clock().nowNanos() >= LEAST_LEFT_NANOS;
    }

    private void considerHedge(Attempt attempt) {
        double elapsed = age.of(attempt);
        int slowdownPercent = upstreams.slowdownPercent(attempt.placement().upstream());
        if (HedgeRule.isWorthwhile(elapsed, slowdownPercent)) {
            freshLoad.beforeChoice(choice(HEDGE_MAX_COST), lookupNanos(), () -> hedge(attempt, elapsed));
        } else {
            scheduleHedge(attempt, HedgeRule.nextLook(elapsed));
        }
    }

    /** Sends a second attempt if a fast upstream is idle and the budget of repeats allows it. */
    private void hedge(Attempt attempt, double elapsed) {
        if (!mayHedge(attempt)) {
            return;
        }
        Optional<Placement> placement = upstreams.choose(choice(HEDGE_MAX_COST));
        if (placement.isEmpty()) {
            scheduleHedge(attempt, HedgeRule.nextLook(elapsed));
        } else if (dependencies.tables().retryBudget().tryAcquire(target.service(), route.priority())) {
            attempt(placement.get(), AttemptKind.HEDGE);
        } else {
            upstreams.finish(placement.get(), AttemptResult.CANCELLED);
        }
    }

    private void ended(Attempt attempt, CallEnd end) {
        active.remove(attempt);
        if (end instanceof CallEnd.Answered answered) {
            answered(attempt, answered.response());
        } else if (end instanceof CallEnd.NotSent notSent) {
            notSent(attempt, notSent);
        } else if (end instanceof CallEnd.Broken broken) {
            broken(attempt, broken);
        }
    }

    private void answered(Attempt attempt, ResponseMessage response) {
        dependencies
                .protocol()
                .reportedLoad(response)
                .ifPresent(load -> upstreams.observeLoad(attempt.placement().upstream(), load));
        if (dependencies.protocol().isWrongInstance(response)) {
            finish(attempt, AttemptResult.WRONG_INSTANCE, "another upstream at the address");
            retry(true);
        } else if (dependencies.protocol().provesNotExecuted(response)) {
            finish(attempt, AttemptResult.SHED, "not executed, status " + response.status());
            retry(true);
        } else if (response.isServerError()) {
            finish(attempt, AttemptResult.SERVER_ERROR, "status " + response.status());
            serverError = response;
            mayHaveRun = true;
            retry(route.idempotent());
        } else if (response.isSuccess() && !dependencies.protocol().isSigned(response)) {
            broken(attempt, new CallEnd.Broken("success without a signature"));
        } else {
            upstreams.finish(attempt.placement(), AttemptResult.SUCCESS);
            active.forEach(other -> age.noteIfBeaten(other, attempt));
            answer(response);
        }
    }

    private void notSent(Attempt attempt, CallEnd.NotSent end) {
        sent--;
        finish(attempt, AttemptResult.CONNECT_FAILED, end.reason());
        dependencies.tables().suspects().recordUpstreamLoss(attempt.placement().upstream());
        if (!ended && active.isEmpty()) {
            place(AttemptKind.RETRY);
        }
    }

    private void broken(Attempt attempt, CallEnd.Broken end) {
        finish(attempt, AttemptResult.BROKEN, end.reason());
        mayHaveRun = true;
        dependencies
                .tables()
                .suspects()
                .recordConnectionLoss(target.fingerprint(), attempt.placement().upstream());
        freshLoad.renew(attempt.placement().upstream());
        retry(route.idempotent());
    }

    private void finish(Attempt attempt, AttemptResult result, String reason) {
        upstreams.finish(attempt.placement(), result);
        log.failed(attempt.placement().upstream(), result, reason);
    }

    /** Tries another upstream if the request may run again, or says what is known. */
    private void retry(boolean permitted) {
        if (ended || !active.isEmpty()) {
            return;
        }
        if (permitted
                && sent < route.maxAttempts()
                && !dependencies.tables().suspects().isQuarantined(target.fingerprint())
                && dependencies.tables().retryBudget().tryAcquire(target.service(), route.priority())) {
            place(AttemptKind.RETRY);
        } else {
            giveUp(ResultCode.SHED_BY_UPSTREAM);
        }
    }

    private void giveUp(ResultCode whenNotRun) {
        if (!active.isEmpty()) {
            return;
        }
        if (serverError != null) {
            answer(serverError);
        } else if (mayHaveRun) {
            refuse(ResultCode.OUTCOME_UNKNOWN);
        } else {
            refuse(whenNotRun);
        }
    }

    private void deadlinePassed() {
        if (ended) {
            return;
        }
        if (active.isEmpty() && !mayHaveRun) {
            refuse(ResultCode.DEADLINE_BEFORE_SEND);
        } else {
            refuse(ResultCode.DEADLINE_AFTER_SEND);
        }
    }

    private void refuse(ResultCode code) {
        dependencies.metrics().refused(code);
        if (code == ResultCode.NO_CAPACITY) {
            log.refused(code, upstreams.capacity(choice(Double.MAX_VALUE)));
        } else {
            log.refused(code);
        }
        long pauseMillis = code == ResultCode.SHED_BY_UPSTREAM
                ? SHED_RETRY_MILLIS
                : TimeUnit.NANOSECONDS.toMillis(route.targetLatencyNanos() / RETRY_AFTER_PART);
        conclude(Refusal.of(code, pauseMillis));
    }

    private void answer(ResponseMessage response) {
        if (ended) {
            return;
        }
        log.answered(response.status());
        conclude(new ResponseMessage(response.status(), response.headers().endToEnd(), response.body()));
    }

    private void conclude(ResponseMessage response) {
        end();
        dependencies
                .metrics()
                .answered(
                        target.service(),
                        response.status(),
                        dependencies.clock().nowNanos() - arrivedNanos);
        reply.send(response);
    }

    private void callerGone() {
        if (!ended) {
            end();
            log.callerLeft();
        }
    }

    private void end() {
        ended = true;
        cancelTimer(deadlineTimer);
        cancelTimer(lookTimer);
        for (Attempt attempt : Set.copyOf(active)) {
            age.noteIfOverdue(attempt);
            abandon(attempt);
        }
    }

    /** Stops an idempotent attempt at once. Another one may have an effect, so it gets a moment to end by itself. */
    private void abandon(Attempt attempt) {
        if (route.idempotent()) {
            cut(attempt);
        } else {
            reply.worker().schedule(() -> cut(attempt), ABANDON_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void cut(Attempt attempt) {
        if (active.remove(attempt)) {
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
