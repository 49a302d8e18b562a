package org.turmericspan.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.turmericspan.calls.AttemptOutcome;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.SlotRequest;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.retry.FailedAttempt;

/**
 * State machine of one call: handles events and returns the actions to perform. It sends a call again only where that
 * is safe, produces exactly one result, and never reports a call as not run if any attempt may have run. The class is
 * not thread-safe: the caller of {@link #handle} passes one event at a time.
 */
final class CallStateMachine {
    /** Number of leases found invalid before sending that a call replaces without use of the retry budget. */
    private static final int MAX_INVALID_LEASES = 2;

    private final CallRequest request;
    private final RetryPolicies policies;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private final Set<UpstreamId> triedUpstreams = new HashSet<>();

    /** Failure that becomes the result if no attempt completes; empty while no attempt with a valid lease failed. */
    private Optional<AttemptOutcome> reportedFailure = Optional.empty();

    private boolean finished;
    private boolean upstreamCrashed;

    /** Number of attempts that wait for a slot or are in flight. */
    private int pendingAttempts;

    /** Number of retries and hedges for which the retry budget was used, also those that got no slot. */
    private int extraAttempts;

    private int invalidLeases;

    CallStateMachine(CallRequest request, RetryPolicies policies) {
        this.request = request;
        this.policies = policies;
    }

    /**
     * Handles one event.
     *
     * @param event event to handle
     * @param nowNanos current monotonic time
     * @return actions to perform, in the order of the list
     */
    List<CallAction> handle(CallEvent event, long nowNanos) {
        if (event instanceof CallEvent.Started) {
            return List.of(acquire(SlotRequest.forFirstAttempt(request), Kind.FIRST));
        }
        if (event instanceof CallEvent.SlotDecided decided) {
            return onSlotDecided(decided);
        }
        if (event instanceof CallEvent.AttemptEnded ended) {
            return onAttemptEnded(ended, nowNanos);
        }
        return onHedgeDelayElapsed(nowNanos);
    }

    int extraAttempts() {
        return extraAttempts;
    }

    private CallAction acquire(SlotRequest request, Kind kind) {
        attempts.add(new Attempt(kind));
        pendingAttempts++;
        return new CallAction.Acquire(attempts.size() - 1, request);
    }

    private List<CallAction> onSlotDecided(CallEvent.SlotDecided event) {
        Attempt attempt = attempts.get(event.attempt());
        if (event.decision() instanceof SlotDecision.Granted granted) {
            return onSlotGranted(event.attempt(), attempt, granted.lease());
        }
        pendingAttempts--;
        if (finished || pendingAttempts > 0) {
            return List.of();
        }
        SlotDecision.Denied denied = (SlotDecision.Denied) event.decision();
        return List.of(finish(reportedFailure
                .map(AttemptOutcomeMapping::toCallResult)
                .orElseGet(() -> new CallResult.Refused(denied.code(), "No slot was granted.", denied.retryAfter()))));
    }

    private List<CallAction> onSlotGranted(int attemptNumber, Attempt attempt, SlotLease lease) {
        if (finished) {
            pendingAttempts--;
            return List.of(new CallAction.Release(lease, SlotReturn.unused()));
        }
        attempt.lease = Optional.of(lease);
        triedUpstreams.add(lease.upstream());
        CallRequest sentRequest = attempt.kind == Kind.FIRST ? request : request.asRetried();
        List<CallAction> actions = new ArrayList<>(2);
        actions.add(new CallAction.Send(attemptNumber, lease, sentRequest));
        if (attempt.kind == Kind.FIRST) {
            OptionalLong delayNanos = policies.hedge().delayNanos(request);
            delayNanos.ifPresent(nanos -> actions.add(new CallAction.ScheduleHedge(nanos)));
        }
        return actions;
    }

    private List<CallAction> onHedgeDelayElapsed(long nowNanos) {
        boolean canHedge = !finished && pendingAttempts == 1 && extraAttempts == 0 && isFirstAttemptInFlight();
        if (!canHedge || request.deadlineNanos() <= nowNanos) {
            return List.of();
        }
        return tryAcquireExtraAttempt()
                ? List.of(acquire(SlotRequest.forExtraAttempt(request, triedUpstreams), Kind.EXTRA))
                : List.of();
    }

    private boolean isFirstAttemptInFlight() {
        Attempt latest = attempts.get(attempts.size() - 1);
        return latest.kind == Kind.FIRST && latest.lease.isPresent();
    }

    private boolean tryAcquireExtraAttempt() {
        boolean acquired = policies.budget().tryAcquire(request.service());
        if (acquired) {
            extraAttempts++;
        }
        return acquired;
    }

    private List<CallAction> onAttemptEnded(CallEvent.AttemptEnded event, long nowNanos) {
        Attempt attempt = attempts.get(event.attempt());
        AttemptOutcome outcome = event.outcome();
        pendingAttempts--;
        List<CallAction> actions = new ArrayList<>(2);
        actions.add(new CallAction.Release(attempt.lease.orElseThrow(), AttemptOutcomeMapping.toSlotReturn(outcome)));
        attempt.lease = Optional.empty();
        if (finished) {
            return actions;
        }
        upstreamCrashed |= event.upstreamCrashed();
        if (isFinal(outcome)) {
            cancelOthers(actions);
            actions.add(finish(AttemptOutcomeMapping.toCallResult(outcome)));
        } else {
            onAttemptFailed(outcome, nowNanos, actions);
        }
        return actions;
    }

    private static boolean isFinal(AttemptOutcome outcome) {
        return outcome.kind() == AttemptOutcome.Kind.COMPLETE || outcome.kind() == AttemptOutcome.Kind.ANSWER_TOO_LARGE;
    }

    private void cancelOthers(List<CallAction> actions) {
        for (int number = 0; number < attempts.size(); number++) {
            if (attempts.get(number).lease.isPresent()) {
                actions.add(new CallAction.Cancel(number));
            }
        }
    }

    private void onAttemptFailed(AttemptOutcome outcome, long nowNanos, List<CallAction> actions) {
        boolean isLeaseInvalid = outcome.kind() == AttemptOutcome.Kind.LEASE_INVALID;
        if (!isLeaseInvalid) {
            reportedFailure = Optional.of(preferUnknownOutcome(outcome));
        }
        if (pendingAttempts > 0) {
            return;
        }
        long remainingNanos = request.deadlineNanos() - nowNanos;
        if (isLeaseInvalid && reportedFailure.isEmpty() && invalidLeases < MAX_INVALID_LEASES && remainingNanos > 0) {
            invalidLeases++;
            actions.add(acquire(SlotRequest.forFirstAttempt(request), Kind.FIRST));
        } else if (mayRetry(outcome, remainingNanos)) {
            actions.add(acquire(SlotRequest.forExtraAttempt(request, triedUpstreams), Kind.EXTRA));
        } else {
            actions.add(finish(AttemptOutcomeMapping.toCallResult(reportedFailure.orElse(outcome))));
        }
    }

    /** Keeps an earlier failure if only that attempt may have run, so that the call is not reported as not run. */
    private AttemptOutcome preferUnknownOutcome(AttemptOutcome outcome) {
        return reportedFailure
                .filter(AttemptOutcome::mayHaveRun)
                .filter(earlier -> !outcome.mayHaveRun())
                .orElse(outcome);
    }

    private boolean mayRetry(AttemptOutcome outcome, long remainingNanos) {
        FailedAttempt failed = new FailedAttempt(request, outcome, remainingNanos, extraAttempts);
        return !upstreamCrashed
                && remainingNanos > 0
                && (request.idempotent() || reportedFailure.stream().noneMatch(AttemptOutcome::mayHaveRun))
                && policies.retry().allows(failed)
                && tryAcquireExtraAttempt();
    }

    private CallAction finish(CallResult result) {
        finished = true;
        return new CallAction.Finish(result);
    }

    private enum Kind {
        /** First attempt of the call, or its replacement after an invalid lease. */
        FIRST,
        /** Retry or hedge, which draws on the retry budget. */
        EXTRA
    }

    private static final class Attempt {
        private final Kind kind;

        /** Lease of the slot while the attempt is in flight; empty before and after. */
        private Optional<SlotLease> lease = Optional.empty();

        Attempt(Kind kind) {
            this.kind = kind;
        }
    }
}
