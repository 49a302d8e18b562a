package org.turmericspan.balancing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class RoomRuleTest {
    private static final int SLOTS = 3;
    private static final double CALM = 0.4;
    private static final double BUSY = 0.7;

    @Test
    void lowestPriorityLeavesTheLastSlotWhileTheServiceIsBusy() {
        assertThat(RoomRule.limit(SLOTS, 2, BUSY)).isEqualTo(2);
    }

    @Test
    void lowestPriorityTakesTheLastSlotWhileTheServiceIsCalm() {
        assertThat(RoomRule.limit(SLOTS, 2, CALM)).isEqualTo(3);
    }

    @Test
    void higherPrioritiesHaveMoreRoom() {
        assertThat(RoomRule.limit(SLOTS, 1, BUSY)).isEqualTo(3);
        assertThat(RoomRule.limit(SLOTS, 0, BUSY)).isEqualTo(4);
    }

    @Test
    void upstreamWithOneSlotTakesAnyPriority() {
        assertThat(RoomRule.limit(1, 2, BUSY)).isEqualTo(1);
    }
}
