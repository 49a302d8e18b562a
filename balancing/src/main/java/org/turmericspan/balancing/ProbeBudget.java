package org.turmericspan.balancing;

import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Token bucket for the probes that requests trigger on demand. All nodes together stay within the configured probe rate
 * under any load, since each node's bucket is refilled at an equal part of that rate.
 */
public final class ProbeBudget {
    /** Share of the configured probe rate for probes on demand; the rest is for the owners' periodic probes. */
    private static final double ON_DEMAND_SHARE = 0.6;
    /** Capacity of the bucket in seconds of its refill rate, which admits bursts. */
    private static final double BURST_SECONDS = 1;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final double maxProbesPerSecond;
    private final IntSupplier upstreamCount;
    private final IntSupplier nodeCount;
    private final MonotonicClock clock;
    private double tokens;
    private long refilledNanos;

    /**
     * Creates an empty bucket.
     *
     * @param maxProbesPerSecond limit on the probes of one upstream a second, by all nodes together
     * @param upstreamCount returns the number of known upstreams
     * @param nodeCount returns the number of nodes that share the budget
     * @param clock monotonic time
     */
    public ProbeBudget(
            double maxProbesPerSecond, IntSupplier upstreamCount, IntSupplier nodeCount, MonotonicClock clock) {
        this.maxProbesPerSecond = maxProbesPerSecond;
        this.upstreamCount = upstreamCount;
        this.nodeCount = nodeCount;
        this.clock = clock;
        this.refilledNanos = clock.nowNanos();
    }

    /**
     * Acquires a token for one probe if there is one.
     *
     * @return whether the probe may be sent
     */
    public boolean tryAcquire() {
        double refillPerSecond =
                ON_DEMAND_SHARE * maxProbesPerSecond * upstreamCount.getAsInt() / Math.max(1, nodeCount.getAsInt());
        long now = clock.nowNanos();
        return lock.compute(() -> {
            tokens = Math.min(
                    BURST_SECONDS * refillPerSecond,
                    tokens + refillPerSecond * (now - refilledNanos) / NANOS_PER_SECOND);
            refilledNanos = now;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        });
    }
}
