package org.turmericspan.zones;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.turmericspan.ids.SocketAddress;

/**
 * Demand of a service in the local zone: what its nodes tell, the newer the more, times the number of nodes. So nodes
 * that are silent count as the mean of the others. Guarded by its user's lock.
 */
final class ZoneDemand {
    /** Age at which what a node tells counts a third; nodes of a large zone hear from each other every few seconds. */
    private static final double AGE_SCALE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);
    /** Age from which it is dropped. */
    private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(6);
    /** Maximum number of nodes whose demand is kept. */
    private static final int MAX_NODES = 1_024;

    private final SlidingDemand own = new SlidingDemand();
    private final Map<SocketAddress, NodeDemand> others = new HashMap<>();

    void begun(long workNanos, long nowNanos) {
        own.add(workNanos, nowNanos);
    }

    double ownSlots(long nowNanos) {
        return own.slots(nowNanos);
    }

    void tell(SocketAddress node, double slots, long nowNanos) {
        if (others.size() < MAX_NODES || others.containsKey(node)) {
            others.put(node, new NodeDemand(slots, nowNanos));
        }
    }

    /**
     * Returns the demand of the zone.
     *
     * @param nodes number of nodes alive in the zone
     * @param nowNanos monotonic time
     */
    double zoneSlots(int nodes, long nowNanos) {
        others.values().removeIf(node -> nowNanos - node.atNanos > MAX_AGE_NANOS);
        double sum = ownSlots(nowNanos);
        double weights = 1;
        for (NodeDemand node : others.values()) {
            double weight = Math.exp(-(nowNanos - node.atNanos) / AGE_SCALE_NANOS);
            sum += weight * node.slots;
            weights += weight;
        }
        return sum * Math.max(1, nodes) / weights;
    }

    /** Returns whether no node of the zone asks for the service. */
    boolean isIdle(long nowNanos) {
        return zoneSlots(1, nowNanos) <= 0;
    }

    /** Demand that a node told. */
    private record NodeDemand(double slots, long atNanos) {}
}
