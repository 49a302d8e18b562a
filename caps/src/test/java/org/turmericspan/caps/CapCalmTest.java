package org.turmericspan.caps;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.Test;

/** Tests refusals below the cap, messages and round trips of a fleet without troubles. */
class CapCalmTest {
    private static final int ZONES = 4;
    private static final int SMALL = 16;
    private static final int LARGE = 119;
    private static final int SECONDS = 30;
    private static final int LONG_SECONDS = 120;
    private static final int TENANTS = 80;
    private static final int SAMPLES = 12;
    private static final double NEARLY_ALL = 0.9;
    /** Requests a second of the ordinary day that the operators describe, all tenants together. */
    private static final double DAY_PER_SECOND = 840;
    /** Demand of a tenant on an ordinary day as a share of its cap. */
    private static final double DAY_SHARE = 0.6;

    private static InMemoryFleet fleet(int nodes) {
        InMemoryFleet fleet = new InMemoryFleet(InMemoryFleet.LIMITS, nodes, Duration.ofMillis(500));
        for (int i = 0; i < nodes; i++) {
            fleet.add(i % ZONES);
        }
        return fleet;
    }

    private static void demand(
            InMemoryFleet fleet, String tenant, double perSecond, int seconds, IntUnaryOperator node) {
        long startNanos = fleet.clock().nowNanos();
        double atSeconds = 0;
        while (atSeconds < seconds) {
            atSeconds += -Math.log(1 - fleet.random().nextDouble()) / perSecond;
            int index = node.applyAsInt(fleet.nodes().size());
            fleet.at(
                    startNanos + (long) (atSeconds * TimeUnit.SECONDS.toNanos(1)),
                    () -> fleet.nodes().get(index).request(tenant));
        }
    }

    private static double refusedShare(int nodes, double perSecond, double burst, boolean isAtOneNode) {
        InMemoryFleet fleet = fleet(nodes);
        fleet.setDirectory(Tenants.many(SAMPLES, perSecond, burst));
        fleet.run(Duration.ofSeconds(15));
        for (int i = 0; i < SAMPLES; i++) {
            int only = i;
            demand(
                    fleet,
                    "t" + i,
                    NEARLY_ALL * perSecond,
                    LONG_SECONDS,
                    count -> isAtOneNode ? only : fleet.random().nextInt(count));
        }
        fleet.run(Duration.ofSeconds(LONG_SECONDS + 1));
        int refused = fleet.count(CapDecision.Outcome.OVER_CAP) + fleet.count(CapDecision.Outcome.UNDECIDED);
        double share = refused / (double) fleet.decided();
        System.out.println("refused at 0.9: nodes=" + nodes + " rate=" + perSecond + " burst=" + burst + " one="
                + isAtOneNode + " refused=" + share + " of " + fleet.decided() + " outcomes=" + fleet.outcomes());
        return share;
    }

    @Test
    void atMostOneInHundredIsRefusedAtNineTenthsOfTheCap() {
        for (int nodes : new int[] {SMALL, LARGE}) {
            for (boolean isAtOneNode : new boolean[] {false, true}) {
                assertThat(refusedShare(nodes, 16, 8, isAtOneNode)).isLessThanOrEqualTo(0.01);
                assertThat(refusedShare(nodes, 100, 50, isAtOneNode)).isLessThanOrEqualTo(0.01);
                assertThat(refusedShare(nodes, 2, 2, isAtOneNode)).isLessThanOrEqualTo(0.01);
            }
        }
    }

    /** Plays an ordinary day with all tenants and returns the bytes that a node sends in a second. */
    private static double bytesPerNodeSecond(int nodes) {
        InMemoryFleet fleet = fleet(nodes);
        double perSecond = DAY_PER_SECOND / TENANTS;
        fleet.setDirectory(Tenants.many(TENANTS, perSecond / DAY_SHARE, perSecond / 2));
        fleet.run(Duration.ofSeconds(15));
        fleet.forgetFigures();
        for (int i = 0; i < TENANTS; i++) {
            demand(fleet, "t" + i, perSecond, SECONDS, fleet.random()::nextInt);
        }
        fleet.run(Duration.ofSeconds(SECONDS + 1));
        System.out.println("day: nodes=" + nodes + " decided=" + fleet.decided() + " outcomes=" + fleet.outcomes()
                + " asks=" + fleet.asks() + " bytes a node second=" + fleet.sentBytes() / (double) nodes / SECONDS
                + " maxWaitMs="
                + fleet.maxWaitNanos() / 1e6);
        return fleet.sentBytes() / (double) nodes / SECONDS;
    }

    @Test
    void bytesOfNodeDoNotGrowWithTheFleet() {
        double small = bytesPerNodeSecond(SMALL);
        double large = bytesPerNodeSecond(LARGE);
        assertThat(large).isLessThanOrEqualTo(1.3 * small);
        assertThat(small).isLessThanOrEqualTo(18_000);
    }
}
