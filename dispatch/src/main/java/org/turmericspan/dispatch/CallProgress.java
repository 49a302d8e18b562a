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
 * Decides what happens next to one call: events in, actions out. It sends a call again only where that is safe, gives
 * exactly one result, and never says of a call that any attempt may have run that it did not run. One event is handled
 * at a time.
 */
final class CallProgress {
    private static final int MAX_VOID_LEASES = 2;

    private final CallRequest request;
    private final RetryPolicies policies;
    private final List<Attempt> attempts = new ArrayList<>(1);
    private final Set<UpstreamId> tried = new HashSet<>();
    private Optional<AttemptOutcome> failure = Optional.empty();
    private boolean finished;
    private boolean upstreamDied;
    private int open;
    private int repeats;
    private int voidLeases;

    CallProgress(CallRequest request, RetryPolicies policies) {
        this.request = request;
        this.policies = policies;
    }

    /**
     * Handles one event.
     *
     * @param event what happened
     * @param nowNanos current monotonic time
     * @return what to do, in order
     */
    List<AttemptAction> handle(AttemptEvent event, long nowNanos) {
        if (event instanceof AttemptEvent.Started) {
            return List.of(acquire(SlotRequest.forFirstAttempt(request), Kind.FIRST));
        }
        if (event instanceof AttemptEvent.Decided decided) {
            return decided(decided);
        }
        if (event instanceof AttemptEvent.Replied replied) {
            return replied(replied, nowNanos);
        }
        return hedgeDue(nowNanos);
    }

    int repeats() {
        return repeats;
    }

    private AttemptAction acquire(SlotRequest request, Kind kind) {
        attempts.add(new Attempt(kind));
        open++;
        return new AttemptAction.Acquire(attempts.size() - 1, request);
    }

    private List<AttemptAction> decided(AttemptEvent.Decided event) {
        Attempt attempt = attempts.get(event.attempt());
        if (event.decision() instanceof SlotDecision.Granted granted) {
            return granted(event.attempt(), attempt, granted.lease());
        }
        open--;
        if (finished || open > 0) {
            return List.of();
        }
        SlotDecision.Denied denied = (SlotDecision.Denied) event.decision();
        return List.of(finish(failure.map(ReplyOutcome::result)
                .orElseGet(() -> new CallResult.Refused(denied.code(), "No slot was granted.", denied.retryAfter()))));
    }

    private List<AttemptAction> granted(int number, Attempt attempt, SlotLease lease) {
        if (finished) {
            open--;
            return List.of(new AttemptAction.Release(lease, SlotReturn.unused()));
        }
        attempt.lease = Optional.of(lease);
        tried.add(lease.upstream());
        CallRequest sent = attempt.kind == Kind.FIRST ? request : request.asRetried();
        List<AttemptAction> actions = new ArrayList<>(2);
        actions.add(new AttemptAction.Send(number, lease, sent));
        if (attempt.kind == Kind.FIRST) {
            OptionalLong delayNanos = policies.hedge().delayNanos(request);
            delayNanos.ifPresent(nanos -> actions.add(new AttemptAction.ScheduleHedge(nanos)));
        }
        return actions;
    }

    private List<AttemptAction> hedgeDue(long nowNanos) {
        boolean isOfUse = !finished && open == 1 && repeats == 0 && isFirstUnderWay();
        if (!isOfUse || request.deadlineNanos() <= nowNanos) {
            return List.of();
        }
        return spendRepeat() ? List.of(acquire(SlotRequest.forExtraAttempt(request, tried), Kind.REPEAT)) : List.of();
    }

    private boolean isFirstUnderWay() {
        Attempt last = attempts.get(attempts.size() - 1);
        return last.kind == Kind.FIRST && last.lease.isPresent();
    }

    private boolean spendRepeat() {
        boolean granted = policies.budget().tryAcquire(request.service());
        if (granted) {
            repeats++;
        }
        return granted;
    }

    private List<AttemptAction> replied(AttemptEvent.Replied event, long nowNanos) {
        Attempt attempt = attempts.get(event.attempt());
        AttemptOutcome outcome = event.outcome();
        open--;
        List<AttemptAction> actions = new ArrayList<>(2);
        actions.add(new AttemptAction.Release(attempt.lease.orElseThrow(), ReplyOutcome.slotReturn(outcome)));
        attempt.lease = Optional.empty();
        if (finished) {
            return actions;
        }
        upstreamDied |= event.upstreamDied();
        if (isFinal(outcome)) {
            cancelOthers(actions);
            actions.add(finish(ReplyOutcome.result(outcome)));
        } else {
            failed(outcome, nowNanos, actions);
        }
        return actions;
    }

    private static boolean isFinal(AttemptOutcome outcome) {
        return outcome.kind() == AttemptOutcome.Kind.COMPLETE || outcome.kind() == AttemptOutcome.Kind.ANSWER_TOO_LARGE;
    }

    private void cancelOthers(List<AttemptAction> actions) {
        for (int number = 0; number < attempts.size(); number++) {
            if (attempts.get(number).lease.isPresent()) {
                actions.add(new AttemptAction.Cancel(number));
            }
        }
    }

    private void failed(AttemptOutcome outcome, long nowNanos, List<AttemptAction> actions) {
        boolean isVoid = outcome.kind() == AttemptOutcome.Kind.LEASE_INVALID;
        if (!isVoid) {
            failure = Optional.of(worse(outcome));
        }
        if (open > 0) {
            return;
        }
        long remainingNanos = request.deadlineNanos() - nowNanos;
        if (isVoid && failure.isEmpty() && voidLeases < MAX_VOID_LEASES && remainingNanos > 0) {
            voidLeases++;
            actions.add(acquire(SlotRequest.forFirstAttempt(request), Kind.FIRST));
        } else if (mayRetry(outcome, remainingNanos)) {
            actions.add(acquire(SlotRequest.forExtraAttempt(request, tried), Kind.REPEAT));
        } else {
            actions.add(finish(ReplyOutcome.result(failure.orElse(outcome))));
        }
    }

    /** Keeps the failure that says most about whether the call ran. */
    private AttemptOutcome worse(AttemptOutcome outcome) {
        return failure.filter(AttemptOutcome::mayHaveRun)
                .filter(earlier -> !outcome.mayHaveRun())
                .orElse(outcome);
    }

    private boolean mayRetry(AttemptOutcome outcome, long remainingNanos) {
        FailedAttempt failed = new FailedAttempt(request, outcome, remainingNanos, repeats);
        return !upstreamDied
                && remainingNanos > 0
                && (request.idempotent() || failure.stream().noneMatch(AttemptOutcome::mayHaveRun))
                && policies.retry().allows(failed)
                && spendRepeat();
    }

    private AttemptAction finish(CallResult result) {
        finished = true;
        return new AttemptAction.Finish(result);
    }

    private enum Kind {
        FIRST,
        REPEAT
    }

    private static final class Attempt {
        private final Kind kind;
        private Optional<SlotLease> lease = Optional.empty();

        Attempt(Kind kind) {
            this.kind = kind;
        }
    }
}
