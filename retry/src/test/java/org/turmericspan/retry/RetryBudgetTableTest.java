package org.turmericspan.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.turmericspan.ids.ServiceId;

/** Share of repeats that the budget lets through. */
final class RetryBudgetTableTest {
    private static final ServiceId SERVICE = new ServiceId("ordering");

    private final RetryBudgetTable budgets = new RetryBudgetTable(service -> 10);

    @Test
    void repeatsStayWithinTheirShareOfCalls() {
        int repeats = 0;
        for (int call = 0; call < 1_000; call++) {
            budgets.recordCall(SERVICE);
            repeats += budgets.tryAcquire(SERVICE) ? 1 : 0;
        }

        assertThat(repeats).isEqualTo(100);
    }

    @Test
    void savingsAreBounded() {
        for (int call = 0; call < 100_000; call++) {
            budgets.recordCall(SERVICE);
        }
        int repeats = 0;
        while (budgets.tryAcquire(SERVICE)) {
            repeats++;
        }

        assertThat(repeats).isEqualTo(10);
        assertThat(budgets.dump()).containsExactly(new RetryBudgetTable.BudgetState(SERVICE, 100_000, 10, 1, 0));
    }

    @Test
    void firstCallHasNoRepeat() {
        budgets.recordCall(SERVICE);

        assertThat(budgets.tryAcquire(SERVICE)).isFalse();
    }
}
