package org.turmericspan.zones;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.AvailabilityZoneId;

class ShareDecisionTest {
    private static final AvailabilityZoneId A = new AvailabilityZoneId("zone-a");
    private static final AvailabilityZoneId B = new AvailabilityZoneId("zone-b");
    private static final AvailabilityZoneId C = new AvailabilityZoneId("zone-c");
    private static final long NOW_NANOS = TimeUnit.HOURS.toNanos(1);
    private static final CrossingCost FREE = new CrossingCost(0, 0);

    private static ZoneReport report(AvailabilityZoneId zone, double demand, double room) {
        return report(zone, demand, room, 0);
    }

    private static ZoneReport report(AvailabilityZoneId zone, double demand, double room, long ageMillis) {
        return new ZoneReport(zone, demand, room, NOW_NANOS - TimeUnit.MILLISECONDS.toNanos(ageMillis));
    }

    private static Map<AvailabilityZoneId, Double> shares(CrossingCost cost, ZoneReport... reports) {
        return new ShareDecision(A, cost).shares(List.of(reports), NOW_NANOS);
    }

    @Test
    void overflowIsDividedInProportionToTheRoomToSpare() {
        Map<AvailabilityZoneId, Double> shares =
                shares(FREE, report(A, 140, 100), report(B, 20, 100), report(C, 50, 100));
        assertThat(shares.get(B)).isCloseTo(60.0 / 140 * 60 / 90, within(1e-9));
        assertThat(shares.get(C)).isCloseTo(60.0 / 140 * 30 / 90, within(1e-9));
    }

    @Test
    void overflowBeyondTheSpareRoomStays() {
        Map<AvailabilityZoneId, Double> shares = shares(FREE, report(A, 300, 100), report(B, 70, 100));
        assertThat(shares.get(B)).isCloseTo(10.0 / 300, within(1e-9));
    }

    @Test
    void zonesThatOverflowTogetherDivideTheSpareRoom() {
        Map<AvailabilityZoneId, Double> shares =
                shares(FREE, report(A, 120, 100), report(B, 160, 100), report(C, 50, 100));
        assertThat(shares).containsOnlyKeys(C);
        assertThat(shares.get(C)).isCloseTo(40 * 30.0 / 120 / 120, within(1e-9));
    }

    @Test
    void zoneGetsFullerBeforeWorkLeavesWhenCrossingCostsMore() {
        ZoneReport local = report(A, 120, 100);
        ZoneReport remote = report(B, 10, 100);
        double free = shares(FREE, local, remote).get(B);
        double usual = shares(new CrossingCost(30, 0), local, remote).get(B);
        double dear = shares(new CrossingCost(1_000, 0), local, remote).get(B);
        assertThat(free).isCloseTo(40.0 / 120, within(1e-9));
        assertThat(usual).isLessThan(free);
        assertThat(dear).isLessThan(usual);
        assertThat(dear).isCloseTo(20.0 / 120, within(1e-9));
    }

    @Test
    void emptiedZoneSendsAllAndGetsNothing() {
        assertThat(shares(FREE, report(A, 20, 0), report(B, 20, 100)).get(B)).isEqualTo(1.0);
        assertThat(shares(FREE, report(A, 120, 100), report(B, 0, 0))).isEmpty();
    }

    @Test
    void roomFadesWithTheAgeOfItsReport() {
        ZoneReport local = report(A, 120, 100);
        double fresh = shares(FREE, local, report(B, 50, 100, 2_900)).get(B);
        double fading = shares(FREE, local, report(B, 50, 100, 4_500)).get(B);
        assertThat(fresh).isCloseTo(30.0 / 120, within(1e-9));
        assertThat(fading).isPositive().isLessThan(fresh);
        assertThat(shares(FREE, local, report(B, 50, 100, 6_000))).isEmpty();
    }

    @Test
    void roomIsLeftForZonesThatAreSilentUntilTheyAreForgotten() {
        ZoneReport local = report(A, 180, 100);
        ZoneReport third = report(C, 20, 100);
        double alone = shares(FREE, local, third).get(C);
        double silent = shares(FREE, local, third, report(B, 10, 100, 20_000)).get(C);
        double forgotten =
                shares(FREE, local, third, report(B, 10, 100, 600_000)).get(C);
        assertThat(silent).isCloseTo(alone / 100 * 60 / 2 / 60 * 100, within(1e-9));
        assertThat(forgotten).isEqualTo(alone);
    }

    /** Whichever zones hear of each other, what all of them send to a zone is within the room it has to spare. */
    @Test
    void noZoneIsPushedOverTheNeedOfItsOwnCallers() {
        SplittableRandom random = new SplittableRandom(46);
        for (int round = 0; round < 5_000; round++) {
            assertNoZoneIsPushedOver(random);
        }
    }

    private static void assertNoZoneIsPushedOver(SplittableRandom random) {
        int zones = 2 + random.nextInt(5);
        List<ZoneReport> reports = new ArrayList<>();
        for (int i = 0; i < zones; i++) {
            reports.add(report(new AvailabilityZoneId("z" + i), random.nextInt(200), random.nextInt(120)));
        }
        double[] guests = new double[zones];
        for (int from = 0; from < zones; from++) {
            ShareDecision decision = new ShareDecision(reports.get(from).zone(), new CrossingCost(30, 0));
            Map<AvailabilityZoneId, Double> shares = decision.shares(reports, NOW_NANOS);
            assertThat(shares.values().stream().mapToDouble(share -> share).sum())
                    .isLessThan(1 + 1e-9);
            for (int to = 0; to < zones; to++) {
                guests[to] += reports.get(from).demandSlots()
                        * shares.getOrDefault(reports.get(to).zone(), 0.0);
            }
        }
        for (int to = 0; to < zones; to++) {
            ZoneReport report = reports.get(to);
            double spare = Math.max(0, 0.8 * report.roomSlots() - report.demandSlots());
            assertThat(guests[to]).isLessThanOrEqualTo(spare + 1e-9);
        }
    }
}
