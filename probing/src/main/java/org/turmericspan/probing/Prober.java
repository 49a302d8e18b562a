package org.turmericspan.probing;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.turmericspan.calls.ProbeReport;
import org.turmericspan.calls.UpstreamProbe;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.WorkerPool;

/** Sends the probes whose turn has come and hands the results on. */
public final class Prober implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration REFRESH_PERIOD = Duration.ofSeconds(1);
    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final int LOG_SECONDS = 10;

    private final ProbeSchedule schedule;
    private final Supplier<List<ProbeTarget>> targets;
    private final UpstreamProbe probe;
    private final Consumer<ProbeResult> consumer;
    private final MonotonicClock clock;
    private long refreshNanos;
    private volatile boolean closed;

    /**
     * Creates a prober that does not run yet.
     *
     * @param schedule decides when each upstream is probed
     * @param targets lists what is to be probed now
     * @param probe sends one probe
     * @param consumer takes each result, outside any lock
     * @param clock tells whose turn has come
     */
    public Prober(
            ProbeSchedule schedule,
            Supplier<List<ProbeTarget>> targets,
            UpstreamProbe probe,
            Consumer<ProbeResult> consumer,
            MonotonicClock clock) {
        this.schedule = schedule;
        this.targets = targets;
        this.probe = probe;
        this.consumer = consumer;
        this.clock = clock;
        this.refreshNanos = clock.nowNanos();
    }

    /**
     * Starts to probe.
     *
     * @param workerPool runs the prober
     */
    public void start(WorkerPool workerPool) {
        workerPool.scheduleWithFixedDelay(TICK, this::tick);
    }

    @Override
    public void close() {
        closed = true;
    }

    /** Sends what is due now. */
    void tick() {
        if (closed) {
            return;
        }
        try {
            long nowNanos = clock.nowNanos();
            if (nowNanos - refreshNanos >= 0) {
                refreshNanos = nowNanos + REFRESH_PERIOD.toNanos();
                schedule.setTargets(targets.get(), nowNanos);
            }
            schedule.takeDue(nowNanos).forEach(this::send);
        } catch (RuntimeException e) {
            logger.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).withCause(e).log("probe: a tick failed");
        }
    }

    private void send(ProbeTarget target) {
        probe.send(target.address(), TIMEOUT).thenAccept(report -> end(target, report));
    }

    private void end(ProbeTarget target, Optional<ProbeReport> report) {
        schedule.ended(target.upstream());
        consumer.accept(new ProbeResult(target.upstream(), report));
    }
}
