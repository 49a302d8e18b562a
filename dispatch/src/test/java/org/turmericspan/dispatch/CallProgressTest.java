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

/** What a call does after each event. */
final class CallProgressTest {
    private static final RetryPolicy SAFE = RetryPolicy.whenSafe(service -> OptionalLong.empty());
    private static final HedgePolicy HEDGE = HedgePolicy.afterQuantile(service -> OptionalLong.of(5));

    private final RetryPolicies policies = new RetryPolicies(SAFE, HedgePolicy.none(), RetryBudget.unbounded());
    private final RetryPolicies hedging = new RetryPolicies(SAFE, HEDGE, RetryBudget.unbounded());

    @Test
    void idempotentCallIsRetriedOnAnotherUpstreamAndMarked() {
        CallProgress progress = sent(TestCalls.request(true), policies);

        List<AttemptAction> actions = replied(progress, 0, Kind.CONNECTION_LOST);

        assertThat(acquires(actions)).singleElement().satisfies(acquire -> {
            assertThat(acquire.slotRequest().excludedUpstreams()).containsExactly(new UpstreamId("first"));
            assertThat(acquire.slotRequest().idleOnly()).isTrue();
        });
        assertThat(granted(progress, 1, "second"))
                .singleElement()
                .isInstanceOfSatisfying(
                        AttemptAction.Send.class,
                        send -> assertThat(send.request().retried()).isTrue());
        assertThat(result(replied(progress, 1, Kind.COMPLETE))).isInstanceOf(CallResult.Answered.class);
    }

    @Test
    void otherCallIsNotRetriedWhenItMayHaveRun() {
        CallProgress progress = sent(TestCalls.request(false), policies);

        assertThat(code(replied(progress, 0, Kind.CONNECTION_LOST))).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void otherCallIsRetriedWithProofThatItDidNotRun() {
        CallProgress progress = sent(TestCalls.request(false), policies);

        assertThat(acquires(replied(progress, 0, Kind.SHED))).hasSize(1);
    }

    @Test
    void callRetriedAboveIsNotRetriedAgain() {
        CallProgress progress = sent(TestCalls.request(true).asRetried(), policies);

        assertThat(code(replied(progress, 0, Kind.SHED))).isEqualTo(ResultCode.SHED_BY_UPSTREAM);
    }

    @Test
    void callIsNotRetriedWhenTheBudgetIsUsedUp() {
        CallProgress progress =
                sent(TestCalls.request(true), new RetryPolicies(SAFE, HedgePolicy.none(), service -> false));

        assertThat(code(replied(progress, 0, Kind.SHED))).isEqualTo(ResultCode.SHED_BY_UPSTREAM);
    }

    @Test
    void callIsNotRetriedAfterItsUpstreamDied() {
        CallProgress progress = sent(TestCalls.request(true), policies);
        List<AttemptAction> actions =
                progress.handle(new AttemptEvent.Replied(0, TestCalls.reply(Kind.CONNECTION_LOST), true), 10);

        assertThat(code(actions)).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void refusedRetryNeverTurnsAnUnknownOutcomeIntoNotRun() {
        CallProgress progress = sent(TestCalls.request(true), policies);
        replied(progress, 0, Kind.CONNECTION_LOST);
        granted(progress, 1, "second");
        replied(progress, 1, Kind.SHED);
        SlotDecision denied = new SlotDecision.Denied(ResultCode.NO_CAPACITY, Optional.empty());

        assertThat(code(progress.handle(new AttemptEvent.Decided(2, denied), 10)))
                .isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void voidLeaseIsReplacedWithoutCountingAsARetry() {
        CallProgress progress = sent(TestCalls.request(false), RetryPolicies.none());

        assertThat(acquires(replied(progress, 0, Kind.LEASE_INVALID)))
                .singleElement()
                .satisfies(
                        acquire -> assertThat(acquire.slotRequest().idleOnly()).isFalse());
        assertThat(progress.repeats()).isZero();
    }

    @Test
    void hedgeThatAnswersFirstCancelsTheOther() {
        CallProgress progress = sent(TestCalls.request(true), hedging);
        assertThat(acquires(progress.handle(new AttemptEvent.HedgeDue(), 10))).hasSize(1);
        granted(progress, 1, "second");

        List<AttemptAction> actions = replied(progress, 1, Kind.COMPLETE);

        assertThat(actions).contains(new AttemptAction.Cancel(0));
        assertThat(result(actions)).isInstanceOf(CallResult.Answered.class);
        assertThat(replied(progress, 0, Kind.COMPLETE)).noneMatch(AttemptAction.Finish.class::isInstance);
    }

    @Test
    void slotGrantedAfterTheAnswerIsGivenBackUnused() {
        CallProgress progress = sent(TestCalls.request(true), hedging);
        progress.handle(new AttemptEvent.HedgeDue(), 10);
        replied(progress, 0, Kind.COMPLETE);

        assertThat(granted(progress, 1, "second")).singleElement().isInstanceOf(AttemptAction.Release.class);
    }

    @Test
    void callThatFailsWaitsForItsHedge() {
        CallProgress progress = sent(TestCalls.request(true), hedging);
        progress.handle(new AttemptEvent.HedgeDue(), 10);
        granted(progress, 1, "second");

        assertThat(replied(progress, 0, Kind.CONNECTION_LOST)).noneMatch(AttemptAction.Finish.class::isInstance);
        assertThat(result(replied(progress, 1, Kind.COMPLETE))).isInstanceOf(CallResult.Answered.class);
    }

    @Test
    void callThatMayRunOnlyOnceIsNeverHedged() {
        CallProgress progress = new CallProgress(TestCalls.request(false), hedging);
        progress.handle(new AttemptEvent.Started(), 0);

        assertThat(granted(progress, 0, "first")).noneMatch(AttemptAction.ScheduleHedge.class::isInstance);
    }

    private static CallProgress sent(CallRequest request, RetryPolicies policies) {
        CallProgress progress = new CallProgress(request, policies);
        progress.handle(new AttemptEvent.Started(), 0);
        granted(progress, 0, "first");
        return progress;
    }

    private static List<AttemptAction> granted(CallProgress progress, int attempt, String upstream) {
        SlotDecision decision = new SlotDecision.Granted(new TestCalls.FakeLease(upstream));
        return progress.handle(new AttemptEvent.Decided(attempt, decision), 10);
    }

    private static List<AttemptAction> replied(CallProgress progress, int attempt, Kind kind) {
        return progress.handle(new AttemptEvent.Replied(attempt, TestCalls.reply(kind), false), 10);
    }

    private static List<AttemptAction.Acquire> acquires(List<AttemptAction> actions) {
        List<AttemptAction.Acquire> found = new ArrayList<>();
        for (AttemptAction action : actions) {
            if (action instanceof AttemptAction.Acquire acquire) {
                found.add(acquire);
            }
        }
        return found;
    }

    private static CallResult result(List<AttemptAction> actions) {
        return actions.stream()
                .filter(AttemptAction.Finish.class::isInstance)
                .map(action -> ((AttemptAction.Finish) action).result())
                .findFirst()
                .orElseThrow();
    }

    private static ResultCode code(List<AttemptAction> actions) {
        return ((CallResult.Refused) result(actions)).code();
    }
}
