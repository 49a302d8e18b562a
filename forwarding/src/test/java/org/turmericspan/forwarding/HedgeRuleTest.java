package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HedgeRuleTest {
    private static final int NORMAL_PERCENT = 100;
    private static final int SLOW_PERCENT = 400;

    @Test
    void earlyAttemptAtSlowUpstreamIsHedged() {
        assertThat(HedgeRule.isWorthwhile(0.3, SLOW_PERCENT)).isTrue();
    }

    @Test
    void nearlyFinishedAttemptAtSlowUpstreamIsNotHedged() {
        assertThat(HedgeRule.isWorthwhile(0.9, SLOW_PERCENT)).isFalse();
    }

    @Test
    void lateAttemptAtSlowUpstreamIsHedged() {
        assertThat(HedgeRule.isWorthwhile(1.4, SLOW_PERCENT)).isTrue();
    }

    @Test
    void longRequestAtFastUpstreamIsNotHedged() {
        assertThat(HedgeRule.isWorthwhile(1.4, NORMAL_PERCENT)).isFalse();
    }

    @Test
    void veryLateAttemptAtFastUpstreamIsHedged() {
        assertThat(HedgeRule.isWorthwhile(2.0, NORMAL_PERCENT)).isTrue();
    }

    @Test
    void noCheckTakesPlaceWhileAHedgeIsNotWorthwhile() {
        assertThat(HedgeRule.nextCheckAge(0.3)).isEqualTo(0.55);
        assertThat(HedgeRule.nextCheckAge(0.55)).isEqualTo(1.35);
        assertThat(HedgeRule.nextCheckAge(1.35)).isGreaterThan(1.5);
    }

    @Test
    void shortRequestIsCheckedEarlyBecauseASlowPhaseWouldMakeItLate() {
        assertThat(HedgeRule.firstCheckAge(millis(120), millis(300))).isEqualTo(0.3);
    }

    @Test
    void longRequestThatEndsInTimeThroughASlowPhaseIsCheckedOnlyWhenItIsLate() {
        assertThat(HedgeRule.firstCheckAge(millis(310), millis(800))).isEqualTo(1.35);
    }

    @Test
    void requestWhoseLateHedgeWouldBeTooLateIsCheckedEarly() {
        assertThat(HedgeRule.firstCheckAge(millis(500), millis(1_000))).isEqualTo(0.3);
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
