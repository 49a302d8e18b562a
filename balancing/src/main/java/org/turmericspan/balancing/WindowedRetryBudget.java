package org.turmericspan.balancing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Retry budget of this node over a sliding window, for retries and hedges. It is the configured ratio of the node's own
 * requests plus an equal part of the fixed allowance of the fleet, called slack.
 */
public final class WindowedRetryBudget {
    /**
     * Share of the budget that requests of each priority may use, so that higher priorities can still retry when
     * upstreams fail. What is left above the highest share is a margin for requests at the edges of the window.
     */
    private static final double[] BUDGET_SHARES = {0.9, 0.8, 0.65};

    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final Map<ServiceId, Window> windows = new HashMap<>();
    private final BalancingRules rules;
    private final IntSupplier nodeCount;
    private final MonotonicClock clock;

    /**
     * Creates a budget with an empty window.
     *
     * @param rules configured limits for the fleet
     * @param nodeCount returns the number of nodes that share the slack
     * @param clock monotonic time
     */
    public WindowedRetryBudget(BalancingRules rules, IntSupplier nodeCount, MonotonicClock clock) {
        this.rules = rules;
        this.nodeCount = nodeCount;
        this.clock = clock;
    }

    /**
     * Records a request, which increases the budget of its service.
     *
     * @param service service of the request
     */
    public void recordRequest(ServiceId service) {
        long now = clock.nowNanos();
        lock.run(() -> windowOf(service, now).requests.addLast(now));
    }

    /**
     * Acquires one retry or hedge if the budget allows it.
     *
     * @param service service of the request
     * @param priority priority of the request, 0 is the highest
     * @return whether the extra attempt may be made
     */
    public boolean tryAcquire(ServiceId service, int priority) {
        double share = BUDGET_SHARES[Math.min(priority, BUDGET_SHARES.length - 1)];
        long now = clock.nowNanos();
        double slack = rules.retrySlack() / Math.max(1, nodeCount.getAsInt());
        return lock.compute(() -> {
            Window window = windowOf(service, now);
            double allowed = share * (rules.retryRatio() * window.requests.size() + slack);
            if (window.extraAttempts.size() + 1 > allowed) {
                return false;
            }
            window.extraAttempts.addLast(now);
            return true;
        });
    }

    private Window windowOf(ServiceId service, long now) {
        Window window = windows.computeIfAbsent(service, key -> new Window());
        expire(window.requests, now);
        expire(window.extraAttempts, now);
        return window;
    }

    private void expire(Deque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() > rules.retryWindowNanos()) {
            times.removeFirst();
        }
    }

    private static final class Window {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> extraAttempts = new ArrayDeque<>();
    }
}
