package org.turmericspan.runs;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.turmericspan.calls.CallResult;
import org.turmericspan.calls.Payload;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.CallerId;
import org.turmericspan.ids.Epoch;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.OfficeId;
import org.turmericspan.ids.RunToken;
import org.turmericspan.testkit.ManualClock;

/** Tests which requests the run table starts, joins or refuses, and how it expires and limits its entries. */
final class RunTableTest {
    private static final OfficeId OFFICE = new OfficeId("pressroom");
    private static final RequestDigest DIGEST = new RequestDigest(1, 2, 3, 4);
    private static final CallResult RESPONSE = new CallResult.Answered(200, List.of(), Payload.wrap(new byte[1000]));
    private static final CallResult NOT_RUN = CallResult.Refused.of(ResultCode.SHED_BY_UPSTREAM, "");
    private static final CallResult UNKNOWN = CallResult.Refused.of(ResultCode.OUTCOME_UNKNOWN, "");

    private final ManualClock clock = new ManualClock();
    private final RunTable table = new RunTable(new RunTableLimits(Duration.ofSeconds(10), 3, 2, 1500), clock);

    @Test
    void firstRequestWithATokenIsStarted() {
        assertThat(admit(token(1))).isInstanceOf(TokenDecision.Start.class);
    }

    @Test
    void duplicateOfARunInFlightJoinsTheRun() {
        Run run = start(token(1));
        TokenDecision.Duplicate duplicate = (TokenDecision.Duplicate) admit(token(1));
        assertThat(duplicate.outcome()).isSameAs(run.outcome());
    }

    @Test
    void duplicateOfAFinishedRunGetsItsOutcome() {
        finish(start(token(1)), UNKNOWN);
        TokenDecision.Duplicate duplicate = (TokenDecision.Duplicate) admit(token(1));
        assertThat(duplicate.outcome().toCompletableFuture()).isCompletedWithValue(UNKNOWN);
    }

    @Test
    void tokenOfARefusedRequestCannotBeUsedAgain() {
        finish(start(token(1)), NOT_RUN);
        assertThat(admit(token(1))).isEqualTo(new TokenDecision.Refuse(ResultCode.RUN_TOKEN_SPENT));
        assertThat(table.stats().stored()).isZero();
    }

    @Test
    void tokenWithAnotherRequestIsRefused() {
        start(token(1));
        assertThat(table.admit(token(1), OFFICE, new RequestDigest(1, 2, 3, 5)))
                .isEqualTo(new TokenDecision.Refuse(ResultCode.RUN_TOKEN_REUSED));
    }

    @Test
    void tokenFromAnotherOfficeIsRefused() {
        start(token(1));
        assertThat(table.admit(token(1), new OfficeId("workshop"), DIGEST))
                .isEqualTo(new TokenDecision.Refuse(ResultCode.RUN_TOKEN_OF_ANOTHER_CALLER));
    }

    @Test
    void tokenRefusedByAFullTableStaysRefusedWhenThereIsCapacityAgain() {
        start(token(1));
        Run second = start(token(2));
        assertThat(admit(token(3))).isEqualTo(new TokenDecision.Refuse(ResultCode.RUN_TABLE_FULL));
        finish(second, NOT_RUN);
        assertThat(admit(token(3))).isEqualTo(new TokenDecision.Refuse(ResultCode.RUN_TOKEN_SPENT));
        assertThat(admit(token(4))).isInstanceOf(TokenDecision.Start.class);
    }

    @Test
    void tableAtItsByteLimitRefusesNewRunsAndStoresNoFurtherResponse() {
        RunTable largerTable = new RunTable(new RunTableLimits(Duration.ofSeconds(10), 3, 9, 1500), clock);
        Run second = ((TokenDecision.Start) largerTable.admit(token(2), OFFICE, DIGEST)).run();
        largerTable.finish(((TokenDecision.Start) largerTable.admit(token(1), OFFICE, DIGEST)).run(), RESPONSE);
        assertThat(largerTable.admit(token(3), OFFICE, DIGEST))
                .isEqualTo(new TokenDecision.Refuse(ResultCode.RUN_TABLE_FULL));
        largerTable.finish(second, RESPONSE);
        TokenDecision.Duplicate duplicate = (TokenDecision.Duplicate) largerTable.admit(token(2), OFFICE, DIGEST);
        assertThat(duplicate.outcome().toCompletableFuture().join())
                .isEqualTo(CallResult.Refused.of(ResultCode.ANSWER_NOT_STORED, ""));
        assertThat(largerTable.stats().storedBytes()).isBetween(1500L, 1600L);
    }

    @Test
    void tokenOfAValidEpochIsRemembered() {
        finish(start(token(1)), UNKNOWN);
        clock.advance(Duration.ofSeconds(29));
        assertThat(admit(token(1))).isInstanceOf(TokenDecision.Duplicate.class);
    }

    @Test
    void tokenOfAnExpiredEpochHasAnUnknownOutcome() {
        start(token(1));
        clock.advance(Duration.ofSeconds(30));
        assertThat(admit(token(1))).isEqualTo(new TokenDecision.Refuse(ResultCode.RUN_TOKEN_EXPIRED));
        RunTableStats stats = table.stats();
        assertThat(stats.inFlight() + stats.stored()).isZero();
        assertThat(stats.oldestEpoch()).isEqualTo(new Epoch(1));
    }

    @Test
    void outcomeOfAnExpiredRunIsDropped() {
        Run run = start(token(1));
        clock.advance(Duration.ofSeconds(30));
        table.stats();
        finish(run, RESPONSE);
        assertThat(table.stats().storedBytes()).isZero();
    }

    @Test
    void tokenOfAFutureEpochIsRefused() {
        RunToken forged = new RunToken(new Incarnation(7), new Epoch(1), new CallerId("mari"), "0".repeat(32));
        assertThat(admit(forged)).isEqualTo(new TokenDecision.Refuse(ResultCode.RUN_TOKEN_NOT_ISSUED));
    }

    private TokenDecision admit(RunToken token) {
        return table.admit(token, OFFICE, DIGEST);
    }

    private Run start(RunToken token) {
        return ((TokenDecision.Start) admit(token)).run();
    }

    private void finish(Run run, CallResult result) {
        table.finish(run, result);
        run.outcome().complete(result);
    }

    private static RunToken token(int number) {
        return new RunToken(new Incarnation(7), new Epoch(0), new CallerId("mari"), String.format("%032x", number));
    }
}
