package org.turmericspan.balancing;

/**
 * Decides how many requests an upstream may hold before one of a given priority is sent there. A nearly full upstream
 * serves fewer requests in all, so its last slots are kept for what matters most, and the rest waits or is refused.
 */
final class RoomRule {
    /** Share of the slots up to which upstreams of many kinds keep their speed. */
    static final double NEARLY_FULL = 0.8;

    private RoomRule() {}

    static int limit(int slots, int priority) {
        return switch (priority) {
            case 0 -> slots + 1;
            case 1 -> slots;
            default -> Math.max(1, (int) (NEARLY_FULL * slots));
        };
    }
}
