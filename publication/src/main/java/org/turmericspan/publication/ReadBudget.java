package org.turmericspan.publication;

import java.time.Duration;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Token bucket that limits the rate at which this node reads the platform. A read without a token must wait. */
public final class ReadBudget {
    private static final Duration TOKEN_PERIOD = Duration.ofSeconds(1);
    private static final int BURST = 4;

    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final MonotonicClock clock;
    private long fullAtNanos;

    /**
     * Creates a full bucket.
     *
     * @param clock monotonic clock by which the bucket is refilled
     */
    public ReadBudget(MonotonicClock clock) {
        this.clock = clock;
        this.fullAtNanos = clock.nowNanos();
    }

    /**
     * Takes one token, or reserves the next one when the bucket is empty.
     *
     * @return time to wait before the read; zero when a token was available
     */
    public Duration take() {
        return lock.compute(() -> {
            long nowNanos = clock.nowNanos();
            long periodNanos = TOKEN_PERIOD.toNanos();
            fullAtNanos = Math.max(fullAtNanos, nowNanos) + periodNanos;
            return Duration.ofNanos(Math.max(0, fullAtNanos - nowNanos - BURST * periodNanos));
        });
    }
}
