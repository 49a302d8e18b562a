package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ManualClock;

class WindowedRetryBudgetTest {
    private final ManualClock clock = new ManualClock();

    private static int acquireAll(WindowedRetryBudget budget) {
        int acquired = 0;
        while (budget.tryAcquire(Samples.SERVICE, 0)) {
            acquired++;
        }
        return acquired;
    }

    @Test
    void allNodesTogetherStayWithinTheSlack() {
        WindowedRetryBudget budget = new WindowedRetryBudget(Samples.RULES, () -> 16, clock);
        assertThat(16 * acquireAll(budget)).isBetween(1, 60);
    }

    @Test
    void budgetGrowsWithTheRequests() {
        WindowedRetryBudget budget = new WindowedRetryBudget(Samples.RULES, () -> 60, clock);
        for (int i = 0; i < 100; i++) {
            budget.recordRequest(Samples.SERVICE);
        }
        assertThat(acquireAll(budget)).isBetween(10, 20);
    }

    @Test
    void lowerPriorityLeavesBudgetToTheHigher() {
        WindowedRetryBudget budget = new WindowedRetryBudget(Samples.RULES, () -> 4, clock);
        while (budget.tryAcquire(Samples.SERVICE, 2)) {
            clock.advance(Duration.ofMillis(1));
        }
        assertThat(budget.tryAcquire(Samples.SERVICE, 0)).isTrue();
    }

    @Test
    void usedBudgetIsAvailableAgainAfterTheWindow() {
        WindowedRetryBudget budget = new WindowedRetryBudget(Samples.RULES, () -> 4, clock);
        int first = acquireAll(budget);
        clock.advance(Duration.ofSeconds(11));
        assertThat(acquireAll(budget)).isEqualTo(first);
    }
}
