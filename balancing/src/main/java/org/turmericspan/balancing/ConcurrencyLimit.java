package org.turmericspan.balancing;

/**
 * Computes the concurrency limit of an upstream for a request of a given priority. A nearly full upstream has a lower
 * total throughput, so at high utilization of its service the last slots are reserved for the higher priorities, and
 * requests of the lowest are queued or refused.
 */
final class ConcurrencyLimit {
    /**
     * Utilization of an upstream above which upstreams of many kinds slow down. The slots above it are reserved at high
     * utilization of the service.
     */
    static final double NEARLY_FULL_UTILIZATION = 0.8;
    /**
     * Utilization of a service from which the last slots of its upstreams are reserved. Below it, an upstream is
     * nearly full only by chance.
     */
    private static final double HIGH_UTILIZATION = 0.6;

    private ConcurrencyLimit() {}

    /** Returns whether the limit for a priority depends on the utilization of the service; true from priority 2. */
    static boolean dependsOnUtilization(int priority) {
        return priority > 1;
    }

    /** Returns the limit. Priority 0, the highest, may exceed the slots by one request. */
    static int limit(int slots, int priority, double utilization) {
        return switch (priority) {
            case 0 -> slots + 1;
            case 1 -> slots;
            default -> utilization < HIGH_UTILIZATION ? slots : Math.max(1, (int) (NEARLY_FULL_UTILIZATION * slots));
        };
    }
}
