package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ManualClock;

class RepeatWindowTest {
    private final ManualClock clock = new ManualClock();

    private static int spend(RepeatWindow window) {
        int spent = 0;
        while (window.trySpend(Samples.SERVICE, 0)) {
            spent++;
        }
        return spent;
    }

    @Test
    void allNodesTogetherStayWithinTheSlack() {
        RepeatWindow window = new RepeatWindow(Samples.RULES, () -> 16, clock);
        assertThat(16 * spend(window)).isBetween(1, 60);
    }

    @Test
    void repeatsFollowTheRequests() {
        RepeatWindow window = new RepeatWindow(Samples.RULES, () -> 60, clock);
        for (int i = 0; i < 100; i++) {
            window.recordRequest(Samples.SERVICE);
        }
        assertThat(spend(window)).isBetween(10, 20);
    }

    @Test
    void lowerPriorityLeavesSomeToTheHigher() {
        RepeatWindow window = new RepeatWindow(Samples.RULES, () -> 4, clock);
        while (window.trySpend(Samples.SERVICE, 2)) {
            clock.advance(Duration.ofMillis(1));
        }
        assertThat(window.trySpend(Samples.SERVICE, 0)).isTrue();
    }

    @Test
    void spentRepeatsReturnWithTheWindow() {
        RepeatWindow window = new RepeatWindow(Samples.RULES, () -> 4, clock);
        int first = spend(window);
        clock.advance(Duration.ofSeconds(11));
        assertThat(spend(window)).isEqualTo(first);
    }
}
