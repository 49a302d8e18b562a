package org.turmericspan.balancing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Counts the requests sent to a cold upstream within the last second. */
final class ColdPace {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Deque<Long> sentNanos = new ArrayDeque<>();

    /** Tells whether one more request fits. */
    boolean allows(int perSecond, long nowNanos) {
        while (!sentNanos.isEmpty() && nowNanos - sentNanos.peekFirst() > WINDOW_NANOS) {
            sentNanos.removeFirst();
        }
        return sentNanos.size() < perSecond;
    }

    void record(long nowNanos) {
        sentNanos.addLast(nowNanos);
    }

    /**
     * Computes the rate one node keeps. It is at most half of the agreed bound, because two nodes may both believe to
     * own the upstream while the fleet is split.
     */
    static int perSecond(double bearable, BalancingRules rules) {
        double bound = bearable * rules.coldOverage() + rules.coldSlack();
        return (int) Math.max(1, Math.floor(Math.min(bearable, bound / 2)));
    }
}
