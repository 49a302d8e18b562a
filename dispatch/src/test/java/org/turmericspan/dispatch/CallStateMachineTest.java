package org.turmericspan.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.AttemptOutcome.Kind;
import org.turmericspan.calls.CallRequest;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.retry.HedgePolicy;
import org.turmericspan.retry.RetryBudget;
import org.turmericspan.retry.RetryPolicy;

/** Tests which actions a call takes after each event. */
final class CallStateMachineTest {
    private static final RetryPolicy RETRY_WHEN_SAFE = RetryPolicy.whenSafe(service -> OptionalLong.empty());
    private static final HedgePolicy HEDGE_AFTER_DELAY = HedgePolicy.afterQuantile(service -> OptionalLong.of(5));

    private final RetryPolicies retrying =
            new RetryPolicies(RETRY_WHEN_SAFE, HedgePolicy.none(), RetryBudget.unbounded());
    private final RetryPolicies hedging =
            new RetryPolicies(RETRY_WHEN_SAFE, HEDGE_AFTER_DELAY, RetryBudget.unbounded());

    @Test
    void idempotentCallIsRetriedOnAnotherUpstreamAndMarkedAsRetried() {
        CallStateMachine stateMachine = afterFirstSend(TestCalls.request(true), retrying);

        List<CallAction> actions = endAttempt(stateMachine, 0, Kind.CONNECTION_LOST);

        assertThat(acquires(actions)).singleElement().satisfies(acquire -> {
            assertThat(acquire.slotRequest().excludedUpstreams()).containsExactly(new UpstreamId("first"));
            assertThat(acquire.slotRequest().idleOnly()).isTrue();
        });
        assertThat(grantSlot(stateMachine, 1, "second"))
                .singleElement()
                .isInstanceOfSatisfying(
                        CallAction.Send.class,
                        send -> assertThat(send.request().retried()).isTrue());
        assertThat(result(endAttempt(stateMachine, 1, Kind.COMPLETE))).isInstanceOf(CallResult.Answered.class);
    }

    @Test
    void nonIdempotentCallThatMayHaveRunIsNotRetried() {
        CallStateMachine stateMachine = afterFirstSend(TestCalls.request(false), retrying);

        assertThat(refusalCode(endAttempt(stateMachine, 0, Kind.CONNECTION_LOST)))
                .isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void nonIdempotentCallThatDidNotRunIsRetried() {
        CallStateMachine stateMachine = afterFirstSend(TestCalls.request(false), retrying);

        assertThat(acquires(endAttempt(stateMachine, 0, Kind.SHED))).hasSize(1);
    }

    @Test
    void callThatIsAlreadyARetryIsNotRetriedAgain() {
        CallStateMachine stateMachine = afterFirstSend(TestCalls.request(true).asRetried(), retrying);

        assertThat(refusalCode(endAttempt(stateMachine, 0, Kind.SHED))).isEqualTo(ResultCode.SHED_BY_UPSTREAM);
    }

    @Test
    void callIsNotRetriedWhenTheBudgetIsUsedUp() {
        CallStateMachine stateMachine = afterFirstSend(
                TestCalls.request(true), new RetryPolicies(RETRY_WHEN_SAFE, HedgePolicy.none(), service -> false));

        assertThat(refusalCode(endAttempt(stateMachine, 0, Kind.SHED))).isEqualTo(ResultCode.SHED_BY_UPSTREAM);
    }

    @Test
    void callIsNotRetriedAfterItsUpstreamCrashed() {
        CallStateMachine stateMachine = afterFirstSend(TestCalls.request(true), retrying);
        List<CallAction> actions =
                stateMachine.handle(new CallEvent.AttemptEnded(0, TestCalls.outcome(Kind.CONNECTION_LOST), true), 10);

        assertThat(refusalCode(actions)).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void deniedRetryDoesNotTurnAnUnknownOutcomeIntoNotRun() {
        CallStateMachine stateMachine = afterFirstSend(TestCalls.request(true), retrying);
        endAttempt(stateMachine, 0, Kind.CONNECTION_LOST);
        grantSlot(stateMachine, 1, "second");
        endAttempt(stateMachine, 1, Kind.SHED);
        SlotDecision denied = new SlotDecision.Denied(ResultCode.NO_CAPACITY, Optional.empty());

        assertThat(refusalCode(stateMachine.handle(new CallEvent.SlotDecided(2, denied), 10)))
                .isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void invalidLeaseIsReplacedWithoutCountingAsARetry() {
        CallStateMachine stateMachine = afterFirstSend(TestCalls.request(false), RetryPolicies.none());

        assertThat(acquires(endAttempt(stateMachine, 0, Kind.LEASE_INVALID)))
                .singleElement()
                .satisfies(
                        acquire -> assertThat(acquire.slotRequest().idleOnly()).isFalse());
        assertThat(stateMachine.extraAttempts()).isZero();
    }

    @Test
    void hedgeThatCompletesFirstCancelsTheFirstAttempt() {
        CallStateMachine stateMachine = afterFirstSend(TestCalls.request(true), hedging);
        assertThat(acquires(stateMachine.handle(new CallEvent.HedgeDelayElapsed(), 10)))
                .hasSize(1);
        grantSlot(stateMachine, 1, "second");

        List<CallAction> actions = endAttempt(stateMachine, 1, Kind.COMPLETE);

        assertThat(actions).contains(new CallAction.Cancel(0));
        assertThat(result(actions)).isInstanceOf(CallResult.Answered.class);
        assertThat(endAttempt(stateMachine, 0, Kind.COMPLETE)).noneMatch(CallAction.Finish.class::isInstance);
    }

    @Test
    void slotGrantedAfterTheResultIsReleasedUnused() {
        CallStateMachine stateMachine = afterFirstSend(TestCalls.request(true), hedging);
        stateMachine.handle(new CallEvent.HedgeDelayElapsed(), 10);
        endAttempt(stateMachine, 0, Kind.COMPLETE);

        assertThat(grantSlot(stateMachine, 1, "second")).singleElement().isInstanceOf(CallAction.Release.class);
    }

    @Test
    void callWhoseFirstAttemptFailsWaitsForItsHedge() {
        CallStateMachine stateMachine = afterFirstSend(TestCalls.request(true), hedging);
        stateMachine.handle(new CallEvent.HedgeDelayElapsed(), 10);
        grantSlot(stateMachine, 1, "second");

        assertThat(endAttempt(stateMachine, 0, Kind.CONNECTION_LOST)).noneMatch(CallAction.Finish.class::isInstance);
        assertThat(result(endAttempt(stateMachine, 1, Kind.COMPLETE))).isInstanceOf(CallResult.Answered.class);
    }

    @Test
    void callThatMayRunOnlyOnceIsNeverHedged() {
        CallStateMachine stateMachine = new CallStateMachine(TestCalls.request(false), hedging);
        stateMachine.handle(new CallEvent.Started(), 0);

        assertThat(grantSlot(stateMachine, 0, "first")).noneMatch(CallAction.ScheduleHedge.class::isInstance);
    }

    private static CallStateMachine afterFirstSend(CallRequest request, RetryPolicies policies) {
        CallStateMachine stateMachine = new CallStateMachine(request, policies);
        stateMachine.handle(new CallEvent.Started(), 0);
        grantSlot(stateMachine, 0, "first");
        return stateMachine;
    }

    private static List<CallAction> grantSlot(CallStateMachine stateMachine, int attempt, String upstream) {
        SlotDecision decision = new SlotDecision.Granted(new TestCalls.FakeLease(upstream));
        return stateMachine.handle(new CallEvent.SlotDecided(attempt, decision), 10);
    }

    private static List<CallAction> endAttempt(CallStateMachine stateMachine, int attempt, Kind kind) {
        return stateMachine.handle(new CallEvent.AttemptEnded(attempt, TestCalls.outcome(kind), false), 10);
    }

    private static List<CallAction.Acquire> acquires(List<CallAction> actions) {
        List<CallAction.Acquire> found = new ArrayList<>();
        for (CallAction action : actions) {
            if (action instanceof CallAction.Acquire acquire) {
                found.add(acquire);
            }
        }
        return found;
    }

    private static CallResult result(List<CallAction> actions) {
        return actions.stream()
                .filter(CallAction.Finish.class::isInstance)
                .map(action -> ((CallAction.Finish) action).result())
                .findFirst()
                .orElseThrow();
    }

    private static ResultCode refusalCode(List<CallAction> actions) {
        return ((CallResult.Refused) result(actions)).code();
    }
}
