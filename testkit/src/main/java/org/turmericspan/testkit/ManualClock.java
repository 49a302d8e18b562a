package org.turmericspan.testkit;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.turmericspan.ids.MonotonicClock;

/** Monotonic clock that advances only by calls of {@link #advance}. */
public final class ManualClock implements MonotonicClock {
    private final AtomicLong nowNanos = new AtomicLong(1);

    @Override
    public long nowNanos() {
        return nowNanos.get();
    }

    /**
     * Advances the clock.
     *
     * @param duration time to add
     */
    public void advance(Duration duration) {
        nowNanos.addAndGet(duration.toNanos());
    }
}
