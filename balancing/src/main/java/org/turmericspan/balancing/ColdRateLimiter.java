package org.turmericspan.balancing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Limits the rate of requests to a cold upstream by a log of those sent within the last second. */
final class ColdRateLimiter {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Deque<Long> sentNanos = new ArrayDeque<>();

    /** Returns whether one more request stays within the limit. */
    boolean isAllowed(int limitPerSecond, long nowNanos) {
        while (!sentNanos.isEmpty() && nowNanos - sentNanos.peekFirst() > WINDOW_NANOS) {
            sentNanos.removeFirst();
        }
        return sentNanos.size() < limitPerSecond;
    }

    /** Records that a request is sent to the upstream. */
    void record(long nowNanos) {
        sentNanos.addLast(nowNanos);
    }

    /**
     * Computes the limit that one node applies. It is at most half of the configured limit for the fleet, because two
     * nodes may both regard themselves as the owner of the upstream during a network partition.
     */
    static int limitPerSecond(double sustainablePerSecond, BalancingRules rules) {
        double fleetLimitPerSecond = sustainablePerSecond * rules.coldOverage() + rules.coldSlack();
        return (int) Math.max(1, Math.floor(Math.min(sustainablePerSecond, fleetLimitPerSecond / 2)));
    }
}
