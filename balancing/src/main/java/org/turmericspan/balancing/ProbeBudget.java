package org.turmericspan.balancing;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * This node's part of the agreed probes, for probes that requests ask for. All nodes together stay within the agreed
 * number, whatever requests come, since each spends an equal part of it.
 */
public final class ProbeBudget {
    /** Part of the agreed probes that requests may ask for; the rest is for the owners' regular probes. */
    private static final double ASKED_PART = 0.6;
    /** Seconds of its part that a node may save up, so that requests may come in bursts. */
    private static final double BURST_SECONDS = 1;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final double agreedPerSecond;
    private final IntSupplier upstreams;
    private final IntSupplier nodes;
    private final MonotonicClock clock;
    private double saved;
    private long atNanos;

    /**
     * Creates a budget with nothing saved up.
     *
     * @param agreedPerSecond most probes of one upstream a second, by all nodes together
     * @param upstreams counts the upstreams known
     * @param nodes counts the nodes that share the budget
     * @param clock monotonic time
     */
    public ProbeBudget(double agreedPerSecond, IntSupplier upstreams, IntSupplier nodes, MonotonicClock clock) {
        this.agreedPerSecond = agreedPerSecond;
        this.upstreams = upstreams;
        this.nodes = nodes;
        this.clock = clock;
        this.atNanos = clock.nowNanos();
    }

    /**
     * Spends one probe if the budget allows it.
     *
     * @return whether the probe may be sent
     */
    public boolean tryAcquire() {
        double perSecond = ASKED_PART * agreedPerSecond * upstreams.getAsInt() / Math.max(1, nodes.getAsInt());
        long now = clock.nowNanos();
        return lock.compute(() -> {
            saved = Math.min(BURST_SECONDS * perSecond, saved + perSecond * (now - atNanos) / NANOS_PER_SECOND);
            atNanos = now;
            if (saved < 1) {
                return false;
            }
            saved--;
            return true;
        });
    }
}
