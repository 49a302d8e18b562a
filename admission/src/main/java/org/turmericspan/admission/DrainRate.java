package org.turmericspan.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Rate at which waiting requests of one service start, as this node sees it. Answers the load of a service that is
 * short of room: only intervals during which a request waits count, so that a calm service does not look slow. The
 * class is not thread-safe: its users guard it by a lock.
 */
final class DrainRate {
    /** Time without a waiting request after which the rate of an earlier shortage says nothing more. */
    private static final long TTL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Divisor of the part of the present interval beyond the mean that is added to the mean. */
    private static final int OPEN_INTERVAL_DIVISOR = 4;

    private SlotHoldTimeAverage interval = new SlotHoldTimeAverage();
    private long lastNanos;
    private boolean isWaiting;

    /** Records that a request waits where none did. */
    void waitBegan(long nowNanos) {
        if (nowNanos - lastNanos > TTL_NANOS) {
            interval = new SlotHoldTimeAverage();
        }
        isWaiting = true;
        lastNanos = nowNanos;
    }

    /** Records that no request waits any more. */
    void waitEnded(long nowNanos) {
        isWaiting = false;
        lastNanos = nowNanos;
    }

    /** Records that a waiting request has started. */
    void started(long nowNanos) {
        interval.record(Duration.ofNanos(nowNanos - lastNanos));
        lastNanos = nowNanos;
    }

    /**
     * Returns the mean time between two starts; empty before the first start of a shortage. The time since the last
     * start raises the mean once it is longer, but counts for a part only, since single intervals vary widely.
     */
    Optional<Duration> interval(long nowNanos) {
        long sinceNanos = nowNanos - lastNanos;
        if (!isWaiting && sinceNanos > TTL_NANOS) {
            return Optional.empty();
        }
        return interval.mean().map(mean -> {
            long excessNanos = isWaiting ? Math.max(0, sinceNanos - mean.toNanos()) : 0;
            return mean.plusNanos(excessNanos / OPEN_INTERVAL_DIVISOR);
        });
    }
}
