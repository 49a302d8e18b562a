package org.turmericspan.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs the exchange of demand and room with the real gossip of whole fleets in memory: how old reports are, how soon
 * the nodes of a zone agree on the share that leaves, and what the exchange costs. The load pattern is a zone whose
 * callers surge beside zones with room.
 */
class ZoneGossipTest {
    private static final int ZONES = 4;
    private static final int NODES = 106;
    private static final int UPSTREAMS = 52;
    private static final double ROOM = 3.0 * UPSTREAMS / ZONES;
    private static final double MAX_BYTES_PER_SECOND = 18_000;
    /** Age up to which a report counts in full. */
    private static final long FRESH_MILLIS = 3_000;
    /** Widest difference between the shares of the nodes of a zone, or over time, in percent. */
    private static final double MAX_SPREAD = 10;

    private static GossipFleet fleet() {
        GossipFleet fleet = new GossipFleet(NODES, ZONES, UPSTREAMS);
        fleet.shareZones();
        for (int zone = 0; zone < ZONES; zone++) {
            fleet.demand(zone, 0.4 * ROOM);
        }
        fleet.run(Duration.ofSeconds(10));
        return fleet;
    }

    @Test
    void reportsOfAllZonesAreFreshAtAllNodes() {
        GossipFleet fleet = fleet();
        for (int i = 0; i < 40; i++) {
            fleet.run(Duration.ofMillis(250));
            assertThat(fleet.oldestReportMillis(ZONES)).as("after " + i).isLessThan(FRESH_MILLIS);
        }
    }

    @Test
    void nodesOfAZoneAgreeOnTheShareWithinThreeSeconds() {
        GossipFleet fleet = fleet();
        fleet.demand(0, 1.6 * ROOM);
        fleet.run(Duration.ofSeconds(3));
        double least = 100;
        double most = 0;
        for (int i = 0; i < 40; i++) {
            List<Double> shares = fleet.leavingPercents(0);
            least = Math.min(least, Collections.min(shares));
            most = Math.max(most, Collections.max(shares));
            fleet.run(Duration.ofMillis(250));
        }
        assertThat(most - least).isLessThanOrEqualTo(MAX_SPREAD);
        assertThat(least).isGreaterThan(30);
        for (int zone = 1; zone < ZONES; zone++) {
            assertThat(Collections.max(fleet.leavingPercents(zone))).isZero();
        }
    }

    @Test
    void exchangeStaysWithinTheBytesOfANode() {
        GossipFleet plain = new GossipFleet(NODES, ZONES, UPSTREAMS);
        plain.run(Duration.ofSeconds(10));
        GossipFleet sharing = fleet();
        plain.resetCounters();
        sharing.resetCounters();
        plain.run(Duration.ofSeconds(4));
        sharing.run(Duration.ofSeconds(4));
        assertThat(sharing.bytesPerNodeSecond()).isLessThan(MAX_BYTES_PER_SECOND);
        assertThat(sharing.crossZoneBytesPerNodeSecond()).isLessThan(1.1 * plain.crossZoneBytesPerNodeSecond());
    }
}
