package org.turmericspan.zones;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.SocketAddress;

class ZoneDemandTest {
    private static final long WORK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ZoneDemand demand = new ZoneDemand();
    private long nowNanos = TimeUnit.HOURS.toNanos(1);

    private void begin(int perSecond, long millis) {
        for (long i = 0; i < perSecond * millis / 1_000; i++) {
            nowNanos += TimeUnit.SECONDS.toNanos(1) / perSecond;
            demand.begun(WORK_NANOS, nowNanos);
        }
    }

    private static SocketAddress node(int number) {
        return new SocketAddress("10.0.0." + number, 7_700);
    }

    @Test
    void demandIsTheWorkOfTheLastSecond() {
        begin(200, 1_000);
        assertThat(demand.ownSlots(nowNanos)).isCloseTo(20, within(1.5));
        begin(50, 1_500);
        assertThat(demand.ownSlots(nowNanos)).isCloseTo(5, within(0.6));
        nowNanos += TimeUnit.SECONDS.toNanos(3);
        assertThat(demand.ownSlots(nowNanos)).isZero();
    }

    @Test
    void silentNodesCountAsTheMeanOfTheOthers() {
        begin(100, 1_000);
        double own = demand.ownSlots(nowNanos);
        demand.tell(node(1), 20, nowNanos);
        assertThat(demand.zoneSlots(2, nowNanos)).isCloseTo(own + 20, within(1e-9));
        assertThat(demand.zoneSlots(4, nowNanos)).isCloseTo(2 * (own + 20), within(1e-9));
    }

    @Test
    void demandOfAStoppedNodeIsDropped() {
        demand.tell(node(1), 20, nowNanos);
        nowNanos += TimeUnit.SECONDS.toNanos(7);
        assertThat(demand.zoneSlots(2, nowNanos)).isZero();
        assertThat(demand.isIdle(nowNanos)).isTrue();
    }

    @Test
    void olderDemandsCountLess() {
        for (int i = 1; i <= 20; i++) {
            demand.tell(node(i), 100, nowNanos);
        }
        nowNanos += TimeUnit.SECONDS.toNanos(2);
        for (int i = 21; i <= 31; i++) {
            demand.tell(node(i), 12, nowNanos);
        }
        assertThat(demand.zoneSlots(32, nowNanos)).isBetween(32 * 11.0, 32 * 17.0);
    }
}
