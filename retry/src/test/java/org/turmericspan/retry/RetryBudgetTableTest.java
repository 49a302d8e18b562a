package org.turmericspan.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.turmericspan.ids.ServiceId;

/** Tests how many retries and hedges the retry budget admits. */
final class RetryBudgetTableTest {
    private static final ServiceId SERVICE = new ServiceId("ordering");

    private final RetryBudgetTable budgets = new RetryBudgetTable(service -> 10);

    @Test
    void extraAttemptsStayWithinTheConfiguredPercentage() {
        int extraAttempts = 0;
        for (int call = 0; call < 1_000; call++) {
            budgets.recordCall(SERVICE);
            extraAttempts += budgets.tryAcquire(SERVICE) ? 1 : 0;
        }

        assertThat(extraAttempts).isEqualTo(100);
    }

    @Test
    void burstIsBounded() {
        for (int call = 0; call < 100_000; call++) {
            budgets.recordCall(SERVICE);
        }
        int extraAttempts = 0;
        while (budgets.tryAcquire(SERVICE)) {
            extraAttempts++;
        }

        assertThat(extraAttempts).isEqualTo(10);
        assertThat(budgets.dump()).containsExactly(new RetryBudgetTable.BudgetState(SERVICE, 100_000, 10, 1, 0));
    }

    @Test
    void firstCallAdmitsNoExtraAttempt() {
        budgets.recordCall(SERVICE);

        assertThat(budgets.tryAcquire(SERVICE)).isFalse();
    }
}
