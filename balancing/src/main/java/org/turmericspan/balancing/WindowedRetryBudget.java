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
 * This node's part of the repeats that the fleet may make within a sliding window: the agreed ratio of its own
 * requests, and an equal part of the slack.
 */
public final class WindowedRetryBudget {
    /**
     * Part of the agreed budget that requests of each priority may use up, so that what matters most still finds some
     * when servers fail. The rest is a margin for requests at the window's edges.
     */
    private static final double[] USED_PARTS = {0.9, 0.8, 0.65};

    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final Map<ServiceId, Counts> counts = new HashMap<>();
    private final BalancingRules rules;
    private final IntSupplier nodes;
    private final MonotonicClock clock;

    /**
     * Creates a budget without history.
     *
     * @param rules agreed bounds
     * @param nodes nodes that share the slack
     * @param clock monotonic time
     */
    public WindowedRetryBudget(BalancingRules rules, IntSupplier nodes, MonotonicClock clock) {
        this.rules = rules;
        this.nodes = nodes;
        this.clock = clock;
    }

    /**
     * Counts a request.
     *
     * @param service service it goes to
     */
    public void recordRequest(ServiceId service) {
        long now = clock.nowNanos();
        lock.run(() -> countsOf(service, now).requests.addLast(now));
    }

    /**
     * Spends one repeat if the budget allows it.
     *
     * @param service service it goes to
     * @param priority rank of the request, 0 is the highest
     * @return whether the repeat may be made
     */
    public boolean tryAcquire(ServiceId service, int priority) {
        double part = USED_PARTS[Math.min(priority, USED_PARTS.length - 1)];
        long now = clock.nowNanos();
        double slack = rules.retrySlack() / Math.max(1, nodes.getAsInt());
        return lock.compute(() -> {
            Counts current = countsOf(service, now);
            double allowed = part * (rules.retryRatio() * current.requests.size() + slack);
            if (current.repeats.size() + 1 > allowed) {
                return false;
            }
            current.repeats.addLast(now);
            return true;
        });
    }

    private Counts countsOf(ServiceId service, long now) {
        Counts current = counts.computeIfAbsent(service, key -> new Counts());
        expire(current.requests, now);
        expire(current.repeats, now);
        return current;
    }

    private void expire(Deque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() > rules.retryWindowNanos()) {
            times.removeFirst();
        }
    }

    private static final class Counts {
        private final Deque<Long> requests = new ArrayDeque<>();
        private final Deque<Long> repeats = new ArrayDeque<>();
    }
}
