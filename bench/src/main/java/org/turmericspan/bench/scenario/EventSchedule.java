package org.turmericspan.bench.scenario;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs scheduled events while a load runs. */
final class EventSchedule implements AutoCloseable {
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

    void at(Duration offset, Runnable event) {
        timer.schedule(event, offset.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
