package org.turmericspan.caps;

import java.util.concurrent.TimeUnit;

/** Counts the requests of one tenant at this node in the last two whole seconds. */
final class DemandMeter {
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private long periodStartNanos;
    private int current;
    private int previous;
    private int beforePrevious;

    DemandMeter(long nowNanos) {
        periodStartNanos = nowNanos;
    }

    void arrived(long nowNanos) {
        advance(nowNanos);
        current++;
    }

    /** Returns how many more requests are likely to arrive within a second: fewer than in each of the last two. */
    int likelyWithinSecond(long nowNanos) {
        advance(nowNanos);
        int lower = Math.min(previous, beforePrevious);
        return (int) Math.floor(lower - Math.sqrt(lower));
    }

    private void advance(long nowNanos) {
        long elapsed = nowNanos - periodStartNanos;
        if (elapsed >= PERIOD_NANOS) {
            boolean isNext = elapsed < 2 * PERIOD_NANOS;
            beforePrevious = isNext ? previous : 0;
            previous = isNext ? current : 0;
            current = 0;
            periodStartNanos += elapsed / PERIOD_NANOS * PERIOD_NANOS;
        }
    }
}
