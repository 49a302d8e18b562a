package org.turmericspan.zones;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the decision of several zones in a closed loop, with reports that arrive late. */
class ZoneLoopTest {
    private static final int ROOM = 100;
    private static final long SEED = 46;
    /** Widest range of a share in the steady state. */
    private static final double MAX_SWING = 0.1;

    /** Part of the room of a zone with 0.4 of it in use that guests may use: up to 0.8, and 0.05 for hysteresis. */
    private static final double MAX_GUESTS = 0.45;

    private static final double MAX_REFUSED = 0.01;
    private static final double MAX_CROSSED_BY_NEED = 1.2;
    private static final double MAX_LEAVING_BALANCED = 0.01;
    private static final Duration SETTLE = Duration.ofSeconds(3);
    private static final Duration WATCH = Duration.ofSeconds(20);

    private static ZoneLoop balanced(int zones, Duration delay, double utilization) {
        return balanced(zones, delay, utilization, SEED);
    }

    private static ZoneLoop balanced(int zones, Duration delay, double utilization, long seed) {
        ZoneLoop loop = new ZoneLoop(zones, delay, seed);
        for (int i = 0; i < zones; i++) {
            loop.zone(i).room(ROOM).demand(utilization * ROOM);
        }
        loop.run(Duration.ofSeconds(6));
        loop.resetCounts();
        return loop;
    }

    private static Samples watch(ZoneLoop loop, int zone, Duration duration) {
        Samples leaving = new Samples();
        loop.run(duration, () -> leaving.add(loop.zone(zone).leaving()));
        return leaving;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void surgeIsServedByTheRoomOfTheOthers(long seed) {
        ZoneLoop loop = balanced(3, Duration.ofMillis(500), 0.4, seed);
        loop.zone(0).demand(1.6 * ROOM);
        loop.run(SETTLE);
        Samples leaving = watch(loop, 0, WATCH);
        double need = (1 - 1 / 1.6) * loop.zone(0).sentRequests();
        assertThat(leaving.swing()).isLessThanOrEqualTo(MAX_SWING);
        assertThat(loop.refused()).isLessThanOrEqualTo((int) (MAX_REFUSED * loop.sent()));
        assertThat(loop.crossed()).isLessThanOrEqualTo((int) (MAX_CROSSED_BY_NEED * need));
    }

    /** Few requests a second make the measured demand noisy. */
    @Test
    void smallBalancedZonesKeepTheirWork() {
        ZoneLoop loop = new ZoneLoop(4, Duration.ofMillis(500), SEED);
        for (int i = 0; i < 4; i++) {
            loop.zone(i).room(12).demand(7);
        }
        loop.run(WATCH.multipliedBy(3));
        assertThat(loop.planned()).isLessThan((int) (MAX_LEAVING_BALANCED * loop.sent()));
    }

    @ParameterizedTest
    @CsvSource({"3,100", "3,500", "3,1000", "3,2000", "4,100", "4,500", "4,1000", "4,2000"})
    void steadyStateDoesNotSwing(int zones, long delayMillis) {
        ZoneLoop loop = balanced(zones, Duration.ofMillis(delayMillis), 0.5);
        loop.zone(0).demand(1.3 * ROOM);
        loop.run(SETTLE.plusMillis(delayMillis));
        Samples leaving = watch(loop, 0, WATCH);
        assertThat(leaving.swing()).isLessThanOrEqualTo(MAX_SWING);
        assertThat(leaving.min()).isPositive();
        assertThat(loop.refused()).isLessThanOrEqualTo((int) (MAX_REFUSED * loop.sent()));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.3, 0.6, 0.75})
    void balancedZonesKeepTheirWork(double utilization) {
        ZoneLoop loop = balanced(4, Duration.ofMillis(500), utilization);
        loop.run(WATCH);
        assertThat(loop.crossed()).isLessThan((int) (MAX_LEAVING_BALANCED * loop.sent()));
    }

    @Test
    void balancedZonesNearTheirRoomKeepTheirWork() {
        ZoneLoop loop = balanced(4, Duration.ofMillis(500), 0.85);
        loop.run(WATCH);
        assertThat(loop.crossed()).isLessThan((int) (MAX_LEAVING_BALANCED * loop.sent()));
    }

    /** Beside the last resort of requests that find their zone full. */
    @Test
    void decisionSendsNothingFromBalancedZonesNearTheirRoom() {
        ZoneLoop loop = balanced(4, Duration.ofMillis(500), 0.85);
        loop.run(WATCH);
        assertThat(loop.planned()).isLessThan((int) (MAX_LEAVING_BALANCED * loop.sent()));
    }

    /** Guests drive few callers of the zones that help out of their zone. */
    @ParameterizedTest
    @ValueSource(longs = {500, 1_000, 2_000})
    void zonesThatHelpKeepTheirOwnWork(long delayMillis) {
        ZoneLoop loop = balanced(3, Duration.ofMillis(delayMillis), 0.4);
        loop.zone(0).demand(1.6 * ROOM);
        loop.run(SETTLE.plusMillis(delayMillis));
        loop.resetCounts();
        loop.run(WATCH);
        int crossed = loop.zone(1).crossedRequests() + loop.zone(2).crossedRequests();
        int sent = loop.zone(1).sentRequests() + loop.zone(2).sentRequests();
        assertThat(crossed).isLessThan((int) (MAX_LEAVING_BALANCED * sent));
    }

    @ParameterizedTest
    @ValueSource(longs = {100, 500, 1_000, 2_000})
    void zoneThatLosesHalfItsUpstreamsSendsWhatItCannotServe(long delayMillis) {
        ZoneLoop loop = balanced(4, Duration.ofMillis(delayMillis), 0.6);
        loop.zone(2).room(ROOM / 2);
        loop.run(SETTLE.plusMillis(delayMillis));
        Samples leaving = watch(loop, 2, WATCH);
        assertThat(leaving.swing()).isLessThanOrEqualTo(MAX_SWING);
        assertThat(leaving.mean()).isBetween(1 - 50.0 / 60, 1.2 * (1 - 0.9 * 50 / 60));
        assertThat(loop.refused()).isLessThanOrEqualTo((int) (MAX_REFUSED * loop.sent()));
    }

    @ParameterizedTest
    @ValueSource(longs = {100, 1_000, 2_000})
    void wavesOutOfPhaseAreServed(long delayMillis) {
        ZoneLoop loop = balanced(3, Duration.ofMillis(delayMillis), 0.6);
        double periodSeconds = 30;
        Samples busiest = new Samples();
        loop.run(Duration.ofSeconds(60), () -> {
            for (int i = 0; i < 3; i++) {
                double phase = 2 * Math.PI * (loop.seconds() / periodSeconds + i / 3.0);
                loop.zone(i).demand(ROOM * (0.6 + 0.55 * Math.sin(phase)));
                busiest.add(loop.zone(i).leaving());
            }
        });
        assertThat(loop.refused()).isLessThanOrEqualTo((int) (MAX_REFUSED * loop.sent()));
        assertThat(busiest.max()).isLessThan(0.35);
    }

    /** Zones 0 and 1 do not hear of each other, and zone 2 does not pass on what they tell. */
    @Test
    void halvesOfASplitDoNotFloodTheThird() {
        ZoneLoop loop = balanced(3, Duration.ofMillis(500), 0.4);
        loop.stopRelaying();
        loop.link((from, to) -> from == to || to == 2 || from == 2);
        loop.run(Duration.ofSeconds(4));
        loop.zone(0).demand(1.5 * ROOM);
        loop.zone(1).demand(1.5 * ROOM);
        loop.run(SETTLE);
        loop.resetCounts();
        loop.run(WATCH);
        double perSecond = loop.zone(2).guests() / (double) WATCH.toSeconds();
        assertThat(perSecond * ZoneLoop.WORK_SECONDS).isBetween(0.2 * ROOM, MAX_GUESTS * ROOM);
    }

    /** Zones 0 and 1 do not hear of each other, but zone 2 passes on what they tell. */
    @Test
    void halvesOfASplitShareTheRoomOfTheThirdThatRelays() {
        ZoneLoop loop = balanced(3, Duration.ofMillis(500), 0.4);
        loop.link((from, to) -> from == to || to == 2 || from == 2);
        loop.zone(0).demand(1.5 * ROOM);
        loop.zone(1).demand(1.2 * ROOM);
        loop.run(SETTLE);
        loop.resetCounts();
        loop.run(WATCH);
        double perSecond = loop.zone(2).guests() / (double) WATCH.toSeconds();
        assertThat(perSecond * ZoneLoop.WORK_SECONDS).isBetween(0.35 * ROOM, MAX_GUESTS * ROOM);
    }

    @Test
    void zoneThatIsCutGetsNothingAndTheOthersShareOnWithoutIt() {
        ZoneLoop loop = balanced(4, Duration.ofMillis(500), 0.4);
        loop.zone(0).demand(1.3 * ROOM);
        loop.run(SETTLE);
        loop.link((from, to) -> (from == 3) == (to == 3));
        loop.run(Duration.ofSeconds(8));
        loop.resetCounts();
        Samples leaving = watch(loop, 0, WATCH);
        assertThat(loop.zone(3).guests()).isZero();
        assertThat(leaving.swing()).isLessThanOrEqualTo(MAX_SWING);
        assertThat(leaving.mean()).isBetween(0.2, 0.4);
        loop.link((from, to) -> true);
        loop.run(SETTLE);
        loop.resetCounts();
        loop.run(WATCH);
        assertThat(loop.zone(3).guests()).isPositive();
        assertThat(loop.refused()).isLessThanOrEqualTo((int) (MAX_REFUSED * loop.sent()));
    }

    /** Of the demand of a zone with 20 times its room, a share too small to count is more than it can take. */
    @Test
    void smallZoneIsNotFloodedWhenItsOwnCallersNeedItsRoom() {
        ZoneLoop loop = new ZoneLoop(3, Duration.ofMillis(500), SEED);
        loop.zone(0).room(20 * ROOM).demand(24 * ROOM);
        loop.zone(1).room(20 * ROOM).demand(8 * ROOM);
        loop.zone(2).room(ROOM).demand(0.4 * ROOM);
        loop.run(WATCH);
        loop.zone(2).demand(0.78 * ROOM);
        loop.run(WATCH);
        loop.resetCounts();
        loop.run(WATCH);
        int crossed = loop.zone(2).crossedRequests();
        assertThat(crossed)
                .isLessThan((int) (MAX_LEAVING_BALANCED * loop.zone(2).sentRequests()));
    }

    /** The zone loses all its room, as when it is evacuated or its upstreams are cold, and gets it back in steps. */
    @Test
    void zoneBackFromBeingEmptyIsNeitherFloodedNorForgotten() {
        ZoneLoop loop = balanced(3, Duration.ofMillis(500), 0.5);
        loop.zone(0).demand(1.2 * ROOM);
        loop.zone(1).room(0);
        loop.run(SETTLE);
        loop.resetCounts();
        loop.run(WATCH);
        assertThat(loop.zone(1).guests()).isZero();
        for (int room = 10; room <= ROOM; room += 10) {
            loop.zone(1).room(room);
            loop.run(Duration.ofSeconds(1));
        }
        assertThat(loop.zone(1).guests() * ZoneLoop.WORK_SECONDS).isLessThan(10 * 0.3 * ROOM);
        loop.run(SETTLE);
        loop.resetCounts();
        loop.run(WATCH);
        double guestSlots = loop.zone(1).guests() * ZoneLoop.WORK_SECONDS / WATCH.toSeconds();
        assertThat(guestSlots).isBetween(0.05 * ROOM, 0.32 * ROOM);
        assertThat(loop.zone(1).leaving()).isZero();
        assertThat(loop.refused()).isLessThanOrEqualTo((int) (MAX_REFUSED * loop.sent()));
    }

    /** Reports stop altogether: what leaves ends with the trust in the reports, and no zone is flooded by old ones. */
    @Test
    void staleReportsFade() {
        ZoneLoop loop = balanced(3, Duration.ofMillis(500), 0.4);
        loop.zone(0).demand(1.3 * ROOM);
        loop.run(SETTLE);
        assertThat(loop.zone(0).leaving()).isPositive();
        loop.link((from, to) -> from == to);
        loop.run(Duration.ofSeconds(12));
        assertThat(loop.zone(0).leaving()).isZero();
    }
}
