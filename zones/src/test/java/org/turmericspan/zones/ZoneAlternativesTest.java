package org.turmericspan.zones;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;
import org.junit.jupiter.api.Test;

/**
 * Compares the decision with what was weighed beside it, for a zone at 1.6 times its room beside two at 0.4, with
 * reports that are two seconds late: local first with overflow by the momentary view of a node, and a gradient by
 * latency.
 */
class ZoneAlternativesTest {
    private static final int ROOM = 100;
    private static final int ZONES = 3;
    private static final long SEED = 46;
    private static final int ROUNDS_OF_DELAY = 10;
    /** Step of the share a round for a difference in slowdown of one usual work. */
    private static final double GRADIENT_STEP = 0.05;
    /** Utilization from which a zone counts as full. */
    private static final double FULL = 0.97;

    private final double[] shares = new double[ZONES];
    private final Deque<double[]> delayed = new ArrayDeque<>();
    private final Samples leaving = new Samples();
    private int fullRounds;
    private int rounds;

    private void surge(ZoneLoop loop, Runnable decision, DoubleSupplier share) {
        for (int i = 0; i < ZONES; i++) {
            loop.zone(i).room(ROOM).demand(0.4 * ROOM);
        }
        loop.run(Duration.ofSeconds(6), decision);
        loop.zone(0).demand(1.6 * ROOM);
        loop.run(Duration.ofSeconds(5), decision);
        loop.resetCounts();
        loop.run(Duration.ofSeconds(40), () -> {
            decision.run();
            leaving.add(share.getAsDouble());
            rounds++;
            fullRounds += Math.max(loop.zone(1).utilization(), loop.zone(2).utilization()) >= FULL ? 1 : 0;
        });
    }

    private static ZoneLoop loop() {
        return new ZoneLoop(ZONES, Duration.ofSeconds(2), SEED);
    }

    /** Returns a decision that the given one makes by the slowdowns of the zones two seconds ago. */
    private Runnable byLateView(ZoneLoop loop, LateDecision decision) {
        return () -> {
            double[] slowdowns = new double[ZONES];
            for (int i = 0; i < ZONES; i++) {
                slowdowns[i] = ShareDecision.slowdown(loop.zone(i).utilization());
            }
            delayed.addLast(slowdowns);
            if (delayed.size() > ROUNDS_OF_DELAY) {
                double[] late = delayed.removeFirst();
                for (int i = 0; i < ZONES; i++) {
                    shares[i] = Math.min(0.9, Math.max(0, decision.share(i, shares[i], late)));
                }
            }
        };
    }

    private static double others(int zone, double[] slowdowns) {
        double sum = 0;
        for (int i = 0; i < ZONES; i++) {
            sum += i == zone ? 0 : slowdowns[i];
        }
        return sum / (ZONES - 1);
    }

    @Test
    void decisionHoldsStill() {
        ZoneLoop loop = loop();
        surge(loop, () -> {}, () -> loop.zone(0).leaving());
        assertThat(leaving.swing()).isLessThanOrEqualTo(0.1);
        assertThat(loop.crossed())
                .isLessThanOrEqualTo((int) (1.2 * (1 - 1 / 1.6) * loop.zone(0).sentRequests()));
        assertThat(fullRounds).isLessThan(rounds / 10);
    }

    /** A zone sends all when it looked full, and nothing when it did not. */
    @Test
    void overflowByTheMomentaryViewSwings() {
        ZoneLoop loop = loop();
        loop.decideBy(zone -> time -> shares[zone]);
        LateDecision overflow = (zone, share, late) -> late[zone] > 0.5 && others(zone, late) < 0.3 ? 0.9 : 0;
        surge(loop, byLateView(loop, overflow), () -> shares[0]);
        assertThat(leaving.swing()).isGreaterThan(0.5);
    }

    @Test
    void gradientByLatencySwings() {
        ZoneLoop loop = loop();
        loop.decideBy(zone -> time -> shares[zone]);
        LateDecision gradient = (zone, share, late) -> share + GRADIENT_STEP * (late[zone] - others(zone, late) - 0.3);
        surge(loop, byLateView(loop, gradient), () -> shares[0]);
        assertThat(leaving.swing()).isGreaterThan(0.1);
    }

    /** Decides by a view that is late. */
    @FunctionalInterface
    private interface LateDecision {
        double share(int zone, double share, double[] lateSlowdowns);
    }
}
