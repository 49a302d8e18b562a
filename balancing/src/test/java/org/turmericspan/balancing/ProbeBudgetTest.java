package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ManualClock;

class ProbeBudgetTest {
    private static final double AGREED_PER_SECOND = 10;
    private static final int UPSTREAMS = 6;
    private static final int NODES = 3;

    private final ManualClock clock = new ManualClock();
    private final ProbeBudget budget = new ProbeBudget(AGREED_PER_SECOND, () -> UPSTREAMS, () -> NODES, clock);

    private int spendAll() {
        int spent = 0;
        while (budget.tryAcquire()) {
            spent++;
        }
        return spent;
    }

    @Test
    void allNodesTogetherStayWithinTheAgreedProbes() {
        int spent = 0;
        for (int second = 0; second < 10; second++) {
            clock.advance(Duration.ofSeconds(1));
            spent += spendAll();
        }
        assertThat(NODES * spent)
                .isLessThanOrEqualTo((int) (AGREED_PER_SECOND * UPSTREAMS * 10))
                .isPositive();
    }

    @Test
    void idleTimeSavesUpOneSecondOnly() {
        clock.advance(Duration.ofSeconds(60));
        assertThat(spendAll()).isEqualTo(12);
    }

    @Test
    void nothingIsSavedUpAtTheStart() {
        assertThat(budget.tryAcquire()).isFalse();
    }
}
