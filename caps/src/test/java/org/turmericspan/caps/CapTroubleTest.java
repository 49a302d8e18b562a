package org.turmericspan.caps;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what all nodes admit together, and how long requests wait, while nodes are lost or out of touch. */
class CapTroubleTest {
    private static final int ZONES = 4;
    private static final int TENANTS = 80;
    private static final double PER_SECOND = 16;
    private static final double BURST = 8;
    /** Bound of the formula in a window of 5 s. */
    private static final int BOUND = (int) ((PER_SECOND * 5 + BURST) * 1.25 + 20);
    /** Longest time in which a request is decided. */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    private InMemoryFleet fleet;

    private void start(int nodes) {
        fleet = new InMemoryFleet(InMemoryFleet.LIMITS, nodes, Duration.ofMillis(500));
        fleet.setDirectory(Tenants.one("t", PER_SECOND, BURST));
        for (int i = 0; i < nodes; i++) {
            fleet.add(i % ZONES);
        }
        fleet.run(Duration.ofSeconds(15));
    }

    private void demand(String tenant, double perSecond, int seconds) {
        for (int i = 0; i < perSecond * seconds; i++) {
            int index = fleet.random().nextInt(fleet.nodes().size());
            long atNanos = fleet.clock().nowNanos() + (long) (i / perSecond * TimeUnit.SECONDS.toNanos(1));
            fleet.at(atNanos, () -> fleet.nodes().get(index).request(tenant));
        }
    }

    private double admittedShare() {
        int admitted = fleet.count(CapDecision.Outcome.GRANTED) + fleet.count(CapDecision.Outcome.FROM_BATCH);
        return admitted / (double) fleet.decided();
    }

    private void assertWithinBound() {
        assertThat(fleet.mostAdmitted("t", 0, Long.MAX_VALUE)).isLessThanOrEqualTo(BOUND);
        assertThat(fleet.maxWaitNanos()).isLessThanOrEqualTo(MAX_WAIT_NANOS);
    }

    /** Kills a random half for 4 s; what is left of each cap is its shards at the other half. */
    @ParameterizedTest
    @ValueSource(ints = {16, 119})
    void killOfHalfTheNodes(int nodes) {
        start(nodes);
        fleet.setDirectory(Tenants.many(TENANTS, PER_SECOND, BURST));
        fleet.run(Duration.ofSeconds(15));
        for (int i = 0; i < TENANTS; i++) {
            demand("t" + i, 0.6 * PER_SECOND, 20);
        }
        fleet.run(Duration.ofSeconds(5));
        fleet.forgetFigures();
        for (InMemoryFleet.Node node : fleet.nodes()) {
            if (fleet.random().nextBoolean()) {
                node.kill();
                fleet.at(fleet.clock().nowNanos() + TimeUnit.SECONDS.toNanos(4), node::start);
            }
        }
        fleet.run(Duration.ofSeconds(4));
        System.out.println("half killed: nodes=" + nodes + " " + fleet.outcomes() + " admitted=" + admittedShare()
                + " maxWaitMs=" + fleet.maxWaitNanos() / 1e6);
        fleet.run(Duration.ofSeconds(12));
        System.out.println("half killed, to end: nodes=" + nodes + " " + fleet.outcomes() + " admitted="
                + admittedShare() + " maxWaitMs=" + fleet.maxWaitNanos() / 1e6);
        for (int i = 0; i < TENANTS; i++) {
            assertThat(fleet.mostAdmitted("t" + i, 0, Long.MAX_VALUE)).isLessThanOrEqualTo(BOUND);
        }
        assertThat(fleet.maxWaitNanos()).isLessThanOrEqualTo(MAX_WAIT_NANOS);
    }

    /** A zone is lost for good; when its nodes are forgotten a minute later, the others keep giving permits. */
    @ParameterizedTest
    @ValueSource(ints = {16, 119})
    void zoneLostForGoodIsForgottenWithoutRefusals(int nodes) {
        start(nodes);
        fleet.setDirectory(Tenants.many(TENANTS, PER_SECOND, BURST));
        fleet.nodes().stream().filter(node -> node.zone() == 0).forEach(InMemoryFleet.Node::kill);
        fleet.run(Duration.ofSeconds(50));
        for (int i = 0; i < TENANTS; i++) {
            demand("t" + i, 0.6 * PER_SECOND, 25);
        }
        fleet.forgetFigures();
        fleet.run(Duration.ofSeconds(25));
        System.out.println("zone forgotten: nodes=" + nodes + " " + fleet.outcomes() + " admitted=" + admittedShare());
        assertThat(admittedShare()).isGreaterThan(0.97);
    }

    /** All nodes lose power and start within 2 s of each other; their tenants are served within some seconds. */
    @ParameterizedTest
    @ValueSource(ints = {16, 119})
    void lossOfAllNodes(int nodes) {
        start(nodes);
        fleet.setDirectory(Tenants.many(TENANTS, PER_SECOND, BURST));
        fleet.run(Duration.ofSeconds(15));
        fleet.nodes().forEach(InMemoryFleet.Node::kill);
        fleet.run(Duration.ofSeconds(1));
        for (InMemoryFleet.Node node : fleet.nodes()) {
            long delayNanos = fleet.random().nextLong(TimeUnit.SECONDS.toNanos(2));
            fleet.at(fleet.clock().nowNanos() + delayNanos, node::start);
        }
        for (int i = 0; i < TENANTS; i++) {
            demand("t" + i, 0.6 * PER_SECOND, 12);
        }
        double last = 0;
        for (int second = 1; second <= 12; second++) {
            fleet.forgetFigures();
            fleet.run(Duration.ofSeconds(1));
            last = admittedShare();
            System.out.println(
                    "all lost: nodes=" + nodes + " second=" + second + " " + fleet.outcomes() + " admitted=" + last);
            if (second == 5) {
                assertThat(last).isGreaterThan(0.9);
            }
        }
        assertThat(last).isGreaterThan(0.97);
        for (int i = 0; i < TENANTS; i++) {
            assertThat(fleet.mostAdmitted("t" + i, 0, Long.MAX_VALUE)).isLessThanOrEqualTo(BOUND);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {16, 119})
    void zoneCutOffWithDemandFarOverTheCapOnBothSides(int nodes) {
        start(nodes);
        demand("t", 10 * PER_SECOND, 30);
        fleet.run(Duration.ofSeconds(5));
        fleet.cut((first, second) -> (first.zone() == 0) == (second.zone() == 0));
        fleet.run(Duration.ofSeconds(30));
        assertWithinBound();
    }

    @ParameterizedTest
    @ValueSource(ints = {16, 119})
    void zoneCutOffServesItsPart(int nodes) {
        start(nodes);
        demand("t", 0.6 * PER_SECOND, 30);
        fleet.cut((first, second) -> (first.zone() == 0) == (second.zone() == 0));
        fleet.run(Duration.ofSeconds(30));
        System.out.println("zone cut: nodes=" + nodes + " " + fleet.outcomes() + " admitted=" + admittedShare());
        assertWithinBound();
    }

    @ParameterizedTest
    @ValueSource(ints = {16, 119})
    void hundredTimesItsShareAtOneNode(int nodes) {
        start(nodes);
        double perSecond = 100 * PER_SECOND / nodes;
        for (int i = 0; i < perSecond * 20; i++) {
            long atNanos = fleet.clock().nowNanos() + (long) (i / perSecond * TimeUnit.SECONDS.toNanos(1));
            fleet.at(atNanos, () -> fleet.nodes().get(5).request("t"));
        }
        fleet.forgetFigures();
        fleet.run(Duration.ofSeconds(21));
        System.out.println("100 times its share: nodes=" + nodes + " " + fleet.outcomes() + " asks=" + fleet.asks()
                + " in 5 s=" + fleet.mostAdmitted("t", 0, Long.MAX_VALUE) + " bound=" + BOUND);
        assertWithinBound();
        // What is within the cap is admitted, whatever is asked beyond it.
        double admitted = admittedShare() * fleet.decided();
        assertThat(admitted).isGreaterThan(0.9 * Math.min(perSecond, PER_SECOND) * 20);
    }
}
