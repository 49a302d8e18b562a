package org.turmericspan.zones;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.RouteId;

class KindOrderTest {
    private static final RouteId LONG_WORK = new RouteId("report");
    private static final RouteId SHORT_WORK = new RouteId("lookup");
    private static final RouteId LARGE_BODY = new RouteId("upload");
    private static final RouteId SHORT_TARGET = new RouteId("unlock");
    private static final long NOW_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final double FULL = 1.05;

    private final KindOrder kinds = new KindOrder(new CrossingCost(30, TimeUnit.MILLISECONDS.toNanos(8)));

    private void begin(RouteId route, long workMillis, long targetMillis, long bytes, int count) {
        for (int i = 0; i < count; i++) {
            kinds.begun(
                    new RequestKind(
                            route,
                            TimeUnit.MILLISECONDS.toNanos(workMillis),
                            TimeUnit.MILLISECONDS.toNanos(targetMillis),
                            bytes),
                    NOW_NANOS);
        }
    }

    @Test
    void longWorkLeavesBeforeShortWork() {
        begin(LONG_WORK, 300, 1_500, 1_000, 10);
        begin(SHORT_WORK, 30, 200, 1_000, 100);
        kinds.divide(0.25, FULL, NOW_NANOS);
        assertThat(kinds.leaving(LONG_WORK)).isCloseTo(0.5, within(1e-9));
        assertThat(kinds.leaving(SHORT_WORK)).isZero();
        kinds.divide(0.75, FULL, NOW_NANOS);
        assertThat(kinds.leaving(LONG_WORK)).isEqualTo(1);
        assertThat(kinds.leaving(SHORT_WORK)).isCloseTo(0.5, within(1e-9));
    }

    @Test
    void largeBodiesStayUntilTheGainIsWorthTheirPrice() {
        begin(LARGE_BODY, 100, 1_000, 1_000_000, 10);
        begin(SHORT_WORK, 100, 1_000, 1_000, 100);
        kinds.divide(1, 1.02, NOW_NANOS);
        assertThat(kinds.leaving(SHORT_WORK)).isEqualTo(1);
        assertThat(kinds.leaving(LARGE_BODY)).isZero();
        kinds.divide(1, 2, NOW_NANOS);
        assertThat(kinds.leaving(LARGE_BODY)).isCloseTo(1, within(1e-9));
    }

    @Test
    void largeAnswersCountLikeLargeBodies() {
        begin(LARGE_BODY, 100, 1_000, 1_000, 10);
        begin(SHORT_WORK, 100, 1_000, 1_000, 10);
        for (int i = 0; i < 100; i++) {
            kinds.answered(LARGE_BODY, 1_000_000);
        }
        kinds.divide(0.5, FULL, NOW_NANOS);
        assertThat(kinds.leaving(SHORT_WORK)).isCloseTo(1, within(1e-9));
        assertThat(kinds.leaving(LARGE_BODY)).isZero();
    }

    @Test
    void requestsWithoutTimeForTheRoundTripStay() {
        begin(SHORT_TARGET, 100, 107, 1_000, 10);
        kinds.divide(1, 2, NOW_NANOS);
        assertThat(kinds.leaving(SHORT_TARGET)).isZero();
    }

    @Test
    void nothingLeavesWithoutGain() {
        begin(LONG_WORK, 300, 1_500, 1_000, 10);
        kinds.divide(0.5, 0.7, NOW_NANOS);
        assertThat(kinds.leaving(LONG_WORK)).isZero();
    }

    /** Configurations replace routes; those that are gone must not keep new ones from leaving. */
    @Test
    void routesWithoutRequestsAreForgotten() {
        for (int i = 0; i < 1_000; i++) {
            begin(new RouteId("old-" + i), 100, 1_000, 1_000, 1);
        }
        long laterNanos = NOW_NANOS + TimeUnit.MINUTES.toNanos(1);
        kinds.divide(0.5, FULL, laterNanos);
        kinds.begun(new RequestKind(LONG_WORK, 300_000_000, 1_500_000_000, 1_000), laterNanos);
        kinds.divide(0.5, FULL, laterNanos);
        assertThat(kinds.leaving(LONG_WORK)).isCloseTo(0.5, within(1e-6));
    }
}
