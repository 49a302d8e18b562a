package org.turmericspan.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.testkit.ManualClock;

/** Guards the slots of urgent requests from a burst of others, and the others from a reserve that nobody uses. */
final class PriorityReserveTest {
    private static final int URGENT = 1;
    private static final int ORDINARY = 2;

    private final ManualClock clock = new ManualClock();
    private final PriorityReserve reserve = new PriorityReserve(clock);

    private void run(int urgent, int ordinary, Duration time) {
        for (int i = 0; i < urgent; i++) {
            reserve.started(URGENT);
        }
        for (int i = 0; i < ordinary; i++) {
            reserve.started(ORDINARY);
        }
        clock.advance(time);
        for (int i = 0; i < urgent; i++) {
            reserve.ended(URGENT);
        }
        for (int i = 0; i < ordinary; i++) {
            reserve.ended(ORDINARY);
        }
    }

    @Test
    void withoutUrgentDemandNothingIsReserved() {
        run(0, 4, Duration.ofSeconds(10));
        assertThat(reserve.mayReserveFrom(ORDINARY)).isFalse();
        assertThat(reserve.admits(ORDINARY, 20, 19)).isTrue();
    }

    @Test
    void burstMayNotTakeTheLastSlotsThatUrgentRequestsUsed() {
        run(1, 3, Duration.ofSeconds(10));
        assertThat(reserve.mayReserveFrom(ORDINARY)).isTrue();
        assertThat(reserve.admits(ORDINARY, 200, 199)).isFalse();
        assertThat(reserve.admits(URGENT, 200, 199)).isTrue();
    }

    @Test
    void ordinaryRequestsTakeSlotsWhileMoreAreFreeThanReserved() {
        run(1, 9, Duration.ofSeconds(10));
        assertThat(reserve.admits(ORDINARY, 200, 100)).isTrue();
    }

    @Test
    void reserveGrowsWhileUrgentRequestsAreAway() {
        run(1, 3, Duration.ofSeconds(10));
        int atDemand = reserve.reservedSlots(ORDINARY, 400, 200);
        run(0, 3, Duration.ofMillis(600));
        assertThat(reserve.reservedSlots(ORDINARY, 400, 200)).isGreaterThan(atDemand);
    }

    @Test
    void reserveReturnsWhenUrgentRequestsDoNotUseIt() {
        run(1, 3, Duration.ofSeconds(10));
        run(0, 3, Duration.ofSeconds(30));
        assertThat(reserve.reservedSlots(ORDINARY, 200, 199)).isZero();
        assertThat(reserve.mayReserveFrom(ORDINARY)).isFalse();
    }

    @Test
    void atMostAQuarterOfTheSlotsIsReserved() {
        run(9, 1, Duration.ofSeconds(10));
        run(0, 1, Duration.ofSeconds(1));
        assertThat(reserve.reservedSlots(ORDINARY, 200, 199)).isEqualTo(50);
    }

    @Test
    void singleSlotIsNeverReserved() {
        run(9, 1, Duration.ofSeconds(10));
        assertThat(reserve.admits(ORDINARY, 1, 0)).isTrue();
    }
}
