package org.turmericspan.zones;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.AvailabilityZoneId;

class SmoothedSharesTest {
    private static final AvailabilityZoneId B = new AvailabilityZoneId("zone-b");
    private static final AvailabilityZoneId C = new AvailabilityZoneId("zone-c");
    private static final long ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final SmoothedShares shares = new SmoothedShares();
    private long nowNanos = TimeUnit.HOURS.toNanos(1);

    private void follow(Map<AvailabilityZoneId, Double> targets, int rounds) {
        for (int i = 0; i < rounds; i++) {
            nowNanos += ROUND_NANOS;
            shares.follow(targets, nowNanos);
        }
    }

    @Test
    void clearChangeIsFollowedWithoutOvershoot() {
        follow(Map.of(), 1);
        double last = 0;
        for (int i = 0; i < 40; i++) {
            follow(Map.of(B, 0.5), 1);
            assertThat(shares.leaving()).isBetween(last, 0.5);
            assertThat(shares.leaving() - last).isLessThan(0.25);
            last = shares.leaving();
        }
        assertThat(last).isCloseTo(0.5, within(0.01));
    }

    @Test
    void smallOverflowDoesNotBeginToLeave() {
        follow(Map.of(B, 0.04), 50);
        assertThat(shares.leaving()).isZero();
    }

    @Test
    void noiseMovesNothing() {
        follow(Map.of(B, 0.3), 100);
        double settled = shares.leaving();
        for (int i = 0; i < 20; i++) {
            follow(Map.of(B, i % 2 == 0 ? 0.28 : 0.32), 1);
        }
        assertThat(shares.leaving()).isEqualTo(settled);
    }

    @Test
    void zoneThatIsNoTargetAnyMoreIsLeftQuickly() {
        follow(Map.of(B, 0.3, C, 0.03), 100);
        follow(Map.of(B, 0.33), 10);
        assertThat(shares.shares()).containsOnlyKeys(B);
        follow(Map.of(), 15);
        assertThat(shares.leaving()).isZero();
    }

    /** Of a large zone, four in 100 are more than a small one can take. */
    @Test
    void guestsOfASmallZoneFollowItsRoom() {
        follow(Map.of(B, 0.27, C, 0.015), 100);
        follow(Map.of(B, 0.284, C, 0.001), 50);
        assertThat(shares.shares().get(C)).isLessThan(0.005);
    }
}
