package org.turmericspan.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that recorded events lead to the expected outcomes, and to others when a mechanism is disabled. */
final class TraceReplayTest {
    private static final SlotRules DEFAULTS = SlotRules.defaults(Duration.ofSeconds(3));

    @ParameterizedTest
    @ValueSource(
            strings = {
                "silent-restart.jsonl",
                "zone-out-and-back.jsonl",
                "keeper-lost.jsonl",
                "keeper-handover.jsonl",
                "leaving-by-header.jsonl"
            })
    void replayMatchesExpectations(String trace) {
        assertThat(new TraceReplay(DEFAULTS).run(trace)).isEmpty();
    }

    @Test
    void silentRestartOverloadsTheUpstreamWithoutRestartDetection() {
        SlotRules rules = new SlotRules(
                DEFAULTS.viewLagBound(),
                true,
                DEFAULTS.maxTickGap(),
                DEFAULTS.overdueRule(),
                DEFAULTS.concurrencyLimitRule(),
                RestartDetector.DISABLED);

        assertThat(new TraceReplay(rules).run("silent-restart.jsonl")).isNotEmpty();
    }

    @Test
    void upstreamOfALostOwnerIsGrantedTooEarlyWithoutTheGracePeriod() {
        SlotRules rules = new SlotRules(
                DEFAULTS.viewLagBound(),
                false,
                DEFAULTS.maxTickGap(),
                DEFAULTS.overdueRule(),
                DEFAULTS.concurrencyLimitRule(),
                DEFAULTS.restartDetector());

        assertThat(new TraceReplay(rules).run("keeper-lost.jsonl")).isNotEmpty();
    }
}
