package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ManualClock;

class ProbeBudgetTest {
    private static final double PROBES_PER_SECOND = 10;
    private static final int UPSTREAM_COUNT = 6;
    private static final int NODE_COUNT = 3;

    private final ManualClock clock = new ManualClock();
    private final ProbeBudget budget =
            new ProbeBudget(PROBES_PER_SECOND, () -> UPSTREAM_COUNT, () -> NODE_COUNT, clock);

    private int acquireAll() {
        int acquired = 0;
        while (budget.tryAcquire()) {
            acquired++;
        }
        return acquired;
    }

    @Test
    void allNodesTogetherStayWithinTheConfiguredRate() {
        int acquired = 0;
        for (int second = 0; second < 10; second++) {
            clock.advance(Duration.ofSeconds(1));
            acquired += acquireAll();
        }
        assertThat(NODE_COUNT * acquired)
                .isLessThanOrEqualTo((int) (PROBES_PER_SECOND * UPSTREAM_COUNT * 10))
                .isPositive();
    }

    @Test
    void idleTimeRefillsOneSecondOnly() {
        clock.advance(Duration.ofSeconds(60));
        assertThat(acquireAll()).isEqualTo(12);
    }

    @Test
    void bucketStartsEmpty() {
        assertThat(budget.tryAcquire()).isFalse();
    }
}
