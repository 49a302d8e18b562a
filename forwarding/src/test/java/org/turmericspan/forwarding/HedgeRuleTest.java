package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HedgeRuleTest {
    private static final int FAST = 100;
    private static final int SLOW = 400;

    @Test
    void upstreamThatTurnedSlowEarlyIsHedged() {
        assertThat(HedgeRule.isWorthwhile(0.3, SLOW)).isTrue();
    }

    @Test
    void upstreamThatTurnedSlowNearTheEndIsLeftAlone() {
        assertThat(HedgeRule.isWorthwhile(0.9, SLOW)).isFalse();
    }

    @Test
    void lateAttemptAtSlowUpstreamIsHedged() {
        assertThat(HedgeRule.isWorthwhile(1.4, SLOW)).isTrue();
    }

    @Test
    void longRequestAtFastUpstreamIsLeftAlone() {
        assertThat(HedgeRule.isWorthwhile(1.4, FAST)).isFalse();
    }

    @Test
    void answerThatIsFarTooLateIsHedgedThoughTheUpstreamIsFast() {
        assertThat(HedgeRule.isWorthwhile(2.0, FAST)).isTrue();
    }

    @Test
    void looksPauseWhileAHedgeWouldNotBeWorthwhile() {
        assertThat(HedgeRule.nextLook(0.3)).isEqualTo(0.55);
        assertThat(HedgeRule.nextLook(0.55)).isEqualTo(1.35);
        assertThat(HedgeRule.nextLook(1.35)).isGreaterThan(1.5);
    }
}
