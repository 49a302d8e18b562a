package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class ConcurrencyLimitTest {
    private static final int SLOTS = 3;
    private static final double LOW_UTILIZATION = 0.4;
    private static final double HIGH_UTILIZATION = 0.7;

    @Test
    void lowestPriorityLeavesTheLastSlotAtHighUtilization() {
        assertThat(ConcurrencyLimit.limit(SLOTS, 2, HIGH_UTILIZATION)).isEqualTo(2);
    }

    @Test
    void lowestPriorityTakesTheLastSlotAtLowUtilization() {
        assertThat(ConcurrencyLimit.limit(SLOTS, 2, LOW_UTILIZATION)).isEqualTo(3);
    }

    @Test
    void higherPrioritiesHaveHigherLimits() {
        assertThat(ConcurrencyLimit.limit(SLOTS, 1, HIGH_UTILIZATION)).isEqualTo(3);
        assertThat(ConcurrencyLimit.limit(SLOTS, 0, HIGH_UTILIZATION)).isEqualTo(4);
    }

    @Test
    void upstreamWithOneSlotTakesAnyPriority() {
        assertThat(ConcurrencyLimit.limit(1, 2, HIGH_UTILIZATION)).isEqualTo(1);
    }
}
