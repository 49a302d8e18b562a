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

/** Sends the probes that are due and passes the results to a consumer. */
public final class Prober implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Interval between checks for due probes. */
    private static final Duration TICK = Duration.ofMillis(50);
    /** Interval at which the targets are read again. */
    private static final Duration REFRESH_PERIOD = Duration.ofSeconds(1);
    /** Time without a response after which a probe has failed. */
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private static final int LOG_INTERVAL_SECONDS = 10;

    private final ProbeSchedule schedule;
    private final Supplier<List<ProbeTarget>> targets;
    private final UpstreamProbe probe;
    private final Consumer<ProbeResult> consumer;
    private final MonotonicClock clock;
    private long nextRefreshNanos;
    private volatile boolean closed;

    /**
     * Creates a prober that does not run yet.
     *
     * @param schedule decides when each upstream is probed
     * @param targets supplies the current targets
     * @param probe sends one probe
     * @param consumer receives each result; called without a lock held
     * @param clock monotonic time
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
        this.nextRefreshNanos = clock.nowNanos();
    }

    /**
     * Starts probing.
     *
     * @param workerPool runs the periodic task
     */
    public void start(WorkerPool workerPool) {
        workerPool.scheduleWithFixedDelay(TICK, this::tick);
    }

    @Override
    public void close() {
        closed = true;
    }

    /** Refreshes the targets when that is due, then sends the probes that are due. */
    void tick() {
        if (closed) {
            return;
        }
        try {
            long nowNanos = clock.nowNanos();
            if (nowNanos - nextRefreshNanos >= 0) {
                nextRefreshNanos = nowNanos + REFRESH_PERIOD.toNanos();
                schedule.setTargets(targets.get(), nowNanos);
            }
            schedule.pollDue(nowNanos).forEach(this::send);
        } catch (RuntimeException e) {
            logger.atWarning().atMostEvery(LOG_INTERVAL_SECONDS, TimeUnit.SECONDS).withCause(e).log(
                    "probe: failed to refresh the targets or to send the due probes");
        }
    }

    private void send(ProbeTarget target) {
        probe.send(target.address(), TIMEOUT).thenAccept(report -> complete(target, report));
    }

    private void complete(ProbeTarget target, Optional<ProbeReport> report) {
        schedule.markCompleted(target.upstream());
        consumer.accept(new ProbeResult(target.upstream(), report));
    }
}
