package org.turmericspan.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.turmericspan.ids.ServiceId;

/** Share of repeats that the budget lets through. */
final class RepeatBudgetTableTest {
    private static final ServiceId SERVICE = new ServiceId("ordering");

    private final RepeatBudgetTable budgets = new RepeatBudgetTable(service -> 10);

    @Test
    void repeatsStayWithinTheirShareOfCalls() {
        int repeats = 0;
        for (int call = 0; call < 1_000; call++) {
            budgets.recordCall(SERVICE);
            repeats += budgets.trySpend(SERVICE) ? 1 : 0;
        }

        assertThat(repeats).isEqualTo(100);
    }

    @Test
    void savingsAreBounded() {
        for (int call = 0; call < 100_000; call++) {
            budgets.recordCall(SERVICE);
        }
        int repeats = 0;
        while (budgets.trySpend(SERVICE)) {
            repeats++;
        }

        assertThat(repeats).isEqualTo(10);
        assertThat(budgets.dump()).containsExactly(new RepeatBudgetTable.BudgetState(SERVICE, 100_000, 10, 1, 0));
    }

    @Test
    void firstCallHasNoRepeat() {
        budgets.recordCall(SERVICE);

        assertThat(budgets.trySpend(SERVICE)).isFalse();
    }
}
