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

    /** Number of starts that weigh the same; from then on a new one has a weight of one to this number. */
    private static final int MEAN_STARTS = 16;

    private long meanNanos;
    private int starts;
    private long lastNanos;
    private boolean isWaiting;

    /** Records that a request waits where none did. */
    void waitBegan(long nowNanos) {
        if (nowNanos - lastNanos > TTL_NANOS) {
            starts = 0;
            meanNanos = 0;
        }
        isWaiting = true;
        lastNanos = nowNanos;
    }

    /** Records that no request waits any more. */
    void waitEnded(long nowNanos) {
        isWaiting = false;
        lastNanos = nowNanos;
    }

    /**
     * Records that a waiting request has started. The first starts weigh the same, so that the first one after a loss
     * of all upstreams, which ends a long interval, does not stand for those that follow.
     */
    void started(long nowNanos) {
        starts = Math.min(MEAN_STARTS, starts + 1);
        meanNanos += (nowNanos - lastNanos - meanNanos) / starts;
        lastNanos = nowNanos;
    }

    /**
     * Returns the mean time between two starts; empty before the first start of a shortage. The time since the last
     * start raises the mean once it is longer, but counts for a part only, since single intervals vary widely.
     */
    Optional<Duration> interval(long nowNanos) {
        long sinceNanos = nowNanos - lastNanos;
        if (starts == 0 || !isWaiting && sinceNanos > TTL_NANOS) {
            return Optional.empty();
        }
        long excessNanos = isWaiting ? Math.max(0, sinceNanos - meanNanos) : 0;
        return Optional.of(Duration.ofNanos(meanNanos + excessNanos / OPEN_INTERVAL_DIVISOR));
    }
}
