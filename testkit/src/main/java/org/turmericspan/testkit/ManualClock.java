package org.turmericspan.testkit;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.turmericspan.ids.MonotonicClock;

/** Clock that moves only when a test says so. */
public final class ManualClock implements MonotonicClock {
    private final AtomicLong nowNanos = new AtomicLong(1);

    @Override
    public long nowNanos() {
        return nowNanos.get();
    }

    /**
     * Moves the clock forward.
     *
     * @param span how far
     */
    public void advance(Duration span) {
        nowNanos.addAndGet(span.toNanos());
    }
}
