package org.turmericspan.gossip;

/**
 * Decides how often a node sends gossip messages and how much each describes, by the size of the fleet. What a node
 * sends and receives per second is nearly the same in any fleet, because a node of a large zone sends less often, and
 * all nodes of a zone together send about as much to other zones as those of a small one.
 */
final class GossipPace {
    /** Maximum number of other nodes of the zone to which a message is sent in each round. */
    static final int SAME_ZONE_FANOUT = 5;

    private static final long ROUND_MILLIS = 200;
    /** Interval between rounds in a zone whose nodes cannot all be reached in one round. */
    private static final long LARGE_ZONE_ROUND_MILLIS = 400;
    /** Nodes of a zone that together send one message to another zone in each round. */
    private static final int NODES_PER_CROSS_ZONE_MESSAGE = 8;
    /** Minimum number of nodes of other zones described in a message. */
    private static final int MIN_OTHER_ZONES = 20;
    /** Share of the nodes of other zones that a message describes, so that each is heard of in time. */
    private static final int OTHER_ZONES_DIVISOR = 7;
    /** Minimum number of other nodes of the zone described in a message within it. */
    private static final int MIN_SAME_ZONE = 10;
    /** Share of the nodes of the zone that a message within it describes. */
    private static final int SAME_ZONE_DIVISOR = 3;

    /** Maximum number of other nodes of the sender's zone in a message to another zone, which limits its size. */
    private static final int MAX_CROSS_ZONE = 64;

    private final int zonePeers;
    private final int fleetSize;

    /**
     * Creates the pace for a fleet.
     *
     * @param zonePeers number of other alive nodes in the zone of this node
     * @param fleetSize number of alive nodes, including this one
     */
    GossipPace(int zonePeers, int fleetSize) {
        this.zonePeers = zonePeers;
        this.fleetSize = fleetSize;
    }

    /** Returns the delay until the next round. */
    long roundMillis() {
        return zonePeers <= SAME_ZONE_FANOUT ? ROUND_MILLIS : LARGE_ZONE_ROUND_MILLIS;
    }

    /** Returns the number of rounds from one message to another zone until the next; 1 sends one in every round. */
    int roundsPerCrossZoneMessage() {
        return Math.max(1, (zonePeers + 1) / NODES_PER_CROSS_ZONE_MESSAGE);
    }

    /** Returns how many other nodes of its zone a message within the zone describes. */
    int sameZoneSelection() {
        return Math.max(MIN_SAME_ZONE, zonePeers / SAME_ZONE_DIVISOR);
    }

    /** Returns how many nodes of other zones a message describes. */
    int otherZonesSelection() {
        return Math.max(MIN_OTHER_ZONES, (fleetSize - 1 - zonePeers) / OTHER_ZONES_DIVISOR);
    }

    /** Returns how many other nodes of the sender's zone a message to another zone describes: all of most zones. */
    int crossZoneSelection() {
        return MAX_CROSS_ZONE;
    }
}
