package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ManualClock;

class RepeatWindowTest {
    private final ManualClock clock = new ManualClock();

    private static int spend(WindowedRetryBudget window) {
        int spent = 0;
        while (window.tryAcquire(Samples.SERVICE, 0)) {
            spent++;
        }
        return spent;
    }

    @Test
    void allNodesTogetherStayWithinTheSlack() {
        WindowedRetryBudget window = new WindowedRetryBudget(Samples.RULES, () -> 16, clock);
        assertThat(16 * spend(window)).isBetween(1, 60);
    }

    @Test
    void repeatsFollowTheRequests() {
        WindowedRetryBudget window = new WindowedRetryBudget(Samples.RULES, () -> 60, clock);
        for (int i = 0; i < 100; i++) {
            window.recordRequest(Samples.SERVICE);
        }
        assertThat(spend(window)).isBetween(10, 20);
    }

    @Test
    void lowerPriorityLeavesSomeToTheHigher() {
        WindowedRetryBudget window = new WindowedRetryBudget(Samples.RULES, () -> 4, clock);
        while (window.tryAcquire(Samples.SERVICE, 2)) {
            clock.advance(Duration.ofMillis(1));
        }
        assertThat(window.tryAcquire(Samples.SERVICE, 0)).isTrue();
    }

    @Test
    void spentRepeatsReturnWithTheWindow() {
        WindowedRetryBudget window = new WindowedRetryBudget(Samples.RULES, () -> 4, clock);
        int first = spend(window);
        clock.advance(Duration.ofSeconds(11));
        assertThat(spend(window)).isEqualTo(first);
    }
}
