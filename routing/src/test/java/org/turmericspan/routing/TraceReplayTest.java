package org.turmericspan.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Recorded events lead to the stated outcomes, and to others when the mechanism is off. */
final class TraceReplayTest {
    private static final SlotRules USUAL = SlotRules.defaults(Duration.ofSeconds(3));

    @ParameterizedTest
    @ValueSource(
            strings = {
                "silent-restart.jsonl",
                "zone-out-and-back.jsonl",
                "keeper-lost.jsonl",
                "keeper-handover.jsonl",
                "leaving-by-header.jsonl"
            })
    void outcomeIsTheStatedOne(String trace) {
        assertThat(new TraceReplay(USUAL).run(trace)).isEmpty();
    }

    @Test
    void silentRestartOverrunsTheUpstreamWithoutTheRestartRule() {
        SlotRules off = new SlotRules(
                USUAL.viewLagBound(), true, USUAL.maxTickGap(), USUAL.overdue(), USUAL.depth(), RestartRule.NO_SIGN);

        assertThat(new TraceReplay(off).run("silent-restart.jsonl")).isNotEmpty();
    }

    @Test
    void lostKeepersUpstreamIsClaimedTooEarlyWithoutTheGuard() {
        SlotRules off = new SlotRules(
                USUAL.viewLagBound(), false, USUAL.maxTickGap(), USUAL.overdue(), USUAL.depth(), USUAL.restart());

        assertThat(new TraceReplay(off).run("keeper-lost.jsonl")).isNotEmpty();
    }
}
