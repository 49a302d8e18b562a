package org.turmericspan.balancing;

/**
 * Decides how many requests an upstream may hold before one of a given priority is sent there. A nearly full upstream
 * serves fewer requests in all, so while its service is busy its last slots are kept for what matters most, and the
 * rest waits or is refused.
 */
final class RoomRule {
    /** Share of the slots up to which upstreams of many kinds keep their speed. */
    static final double NEARLY_FULL = 0.8;
    /** Share of a service's slots in use from which last slots are kept; below it a nearly full upstream is chance. */
    private static final double BUSY_SHARE = 0.6;

    private RoomRule() {}

    /** Tells whether the room for a priority depends on how busy the service is. */
    static boolean dependsOnBusyShare(int priority) {
        return priority > 1;
    }

    static int limit(int slots, int priority, double busyShare) {
        return switch (priority) {
            case 0 -> slots + 1;
            case 1 -> slots;
            default -> busyShare < BUSY_SHARE ? slots : Math.max(1, (int) (NEARLY_FULL * slots));
        };
    }
}
