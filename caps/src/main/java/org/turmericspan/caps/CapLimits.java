package org.turmericspan.caps;

import java.util.concurrent.TimeUnit;
import org.turmericspan.tenancy.RequestCap;

/**
 * What the operators have agreed on for caps: in any window, the requests of a tenant that run are at most
 * {@code (rate * window + burst) * (1 + overage) + slack}. A part of the overage and of the slack is used for a
 * somewhat higher rate and capacity, so that uneven demand on the shards of a cap refuses fewer requests below the cap;
 * the rest covers the time in which nodes disagree on who holds a shard.
 *
 * @param windowNanos length of the window
 * @param overage share of the cap that may be exceeded
 * @param slack requests that may run in addition
 */
public record CapLimits(long windowNanos, double overage, double slack) {
    /** Most shards of a cap; each has the same part of its rate and of its capacity. */
    static final int MAX_SHARDS = 4;

    /** Least capacity of a shard, if a cap has several. */
    private static final double MIN_SHARD_CAPACITY = 2;

    /** Part of the overage by which the shards together refill faster than the cap. */
    private static final double REFILL_PART = 0.4;
    /** Part of the overage on the requests of a window that is added to the capacity. */
    private static final double LIFE_PART = 0.25;
    /** Part of the slack that is added to the capacity. */
    private static final double SLACK_PART = 0.75;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Checks the numbers. */
    public CapLimits {
        if (windowNanos <= 0 || !(overage >= 0) || !(slack >= 0)) {
            throw new IllegalArgumentException("limits of caps take a window above 0, an overage and a slack");
        }
    }

    /**
     * Returns the limits of each shard of a cap. A cap too small to be divided has one shard, which can hold at least
     * one permit.
     *
     * @param cap the whole cap
     * @return number of shards, and the rate and the capacity of each
     */
    ShardLimits shardsOf(RequestCap cap) {
        double refillPerNano = cap.perSecond() * (1 + REFILL_PART * overage) / NANOS_PER_SECOND;
        double capacity = Math.max(
                1,
                cap.burst() * (1 + REFILL_PART * overage)
                        + cap.perSecond() / NANOS_PER_SECOND * windowNanos * LIFE_PART * overage
                        + slack * SLACK_PART);
        int count = (int) Math.max(1, Math.min(MAX_SHARDS, Math.floor(capacity / MIN_SHARD_CAPACITY)));
        return new ShardLimits(count, refillPerNano / count, capacity / count);
    }

    /**
     * Limits of each shard of a cap.
     *
     * @param count number of shards
     * @param refillPerNano permits that a shard gains in a nanosecond
     * @param capacity most permits of a shard that can be given out, or are given out and not known to be used
     */
    record ShardLimits(int count, double refillPerNano, double capacity) {}
}
