package org.turmericspan.balancing;

/**
 * Slots of a service, over the upstreams that take requests and were observed lately.
 *
 * @param total number of slots
 * @param busy number of those in use by any node
 */
public record ServiceSlots(int total, int busy) {
    /** Returns the share of the slots in use; 0 when there are none. */
    double utilization() {
        return total == 0 ? 0 : (double) busy / total;
    }
}
