package org.turmericspan.admission;

import java.util.Map;
import java.util.TreeMap;
import org.turmericspan.ids.MonotonicClock;

/**
 * Reserve of a service's slots for higher priorities, from the demand of the last seconds. Answers the load of bursting
 * requests of a lower priority beside urgent ones on the same upstreams: the burst may not take the slots that the
 * urgent ones used lately and do not use at the moment, nor those by which their number varies (its square root, by the
 * rule of staffing for a random arrival process). The reserve disappears with the demand. Each node measures the shares
 * of the priorities in its own requests, and applies them to the slots in use by all nodes. The class is not
 * thread-safe: its users guard it by a lock.
 */
public final class PriorityReserve {
    /** Largest part of the slots that is ever reserved, as a divisor, so that no priority is shut out by forecasts. */
    private static final int MAX_RESERVE_DIVISOR = 4;
    /** Mean number of slots in use by higher priorities below which none is reserved. */
    private static final double MIN_DEMAND = 0.2;

    /** Mean number of requests of this node in flight below which their demand is over. */
    private static final double MIN_DEMAND_OF_NODE = 0.002;

    private final MonotonicClock clock;
    private final TreeMap<Integer, DemandAverage> demands = new TreeMap<>();

    /**
     * Creates a reserve without demand.
     *
     * @param clock monotonic time
     */
    public PriorityReserve(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Records that a request of this node has started at an upstream.
     *
     * @param priority its priority
     */
    public void started(int priority) {
        demands.computeIfAbsent(priority, key -> new DemandAverage(clock)).change(1);
    }

    /**
     * Records that a request of this node has ended at an upstream.
     *
     * @param priority its priority
     */
    public void ended(int priority) {
        demands.computeIfAbsent(priority, key -> new DemandAverage(clock)).change(-1);
    }

    /**
     * Returns whether requests of higher priorities were sent lately, so that {@link #admits} needs the slots.
     *
     * @param priority priority of a request
     * @return false if the request is admitted whatever the slots are
     */
    public boolean mayReserveFrom(int priority) {
        for (DemandAverage demand : demands.headMap(priority).values()) {
            if (demand.mean() >= MIN_DEMAND_OF_NODE) {
                return true;
            }
        }
        return false;
    }

    /**
     * Decides whether a request may take a free slot of the service.
     *
     * @param priority priority of the request
     * @param slots slots of all upstreams of the service that take requests; 0 when unknown
     * @param busySlots those of them in use, by any node
     * @return false when the free slots are reserved for higher priorities
     */
    public boolean admits(int priority, int slots, int busySlots) {
        int reserved = reservedSlots(priority, slots, busySlots);
        return reserved == 0 || slots - busySlots > reserved;
    }

    /**
     * Returns the number of slots that a request may not take.
     *
     * @param priority priority of the request
     * @param slots slots of all upstreams of the service that take requests; 0 when unknown
     * @param busySlots those of them in use, by any node
     * @return number of slots reserved for higher priorities
     */
    public int reservedSlots(int priority, int slots, int busySlots) {
        double higherMean = 0;
        double higherPresent = 0;
        double allMean = 0;
        for (Map.Entry<Integer, DemandAverage> entry : demands.entrySet()) {
            double mean = entry.getValue().mean();
            allMean += mean;
            if (entry.getKey() < priority) {
                higherMean += mean;
                higherPresent += entry.getValue().present();
            }
        }
        if (slots <= 1 || higherMean <= 0) {
            return 0;
        }
        double higherSlots = busySlots * higherMean / allMean;
        if (higherSlots < MIN_DEMAND) {
            return 0;
        }
        double unusedShare = Math.max(0, 1 - higherPresent / higherMean);
        int wanted = (int) Math.ceil(higherSlots * unusedShare + Math.sqrt(higherSlots));
        return Math.min(wanted, Math.max(1, slots / MAX_RESERVE_DIVISOR));
    }
}
