package org.turmericspan.publication;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.WorkerPool;

/** Watches one key by long polling and passes every newer value to a sink. */
public final class PlatformFeed implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration LONG_POLL_WAIT = Duration.ofMillis(2_500);

    private final String key;
    private final PlatformReader reader;
    private final PlatformSink sink;
    private final ReadBudget budget;
    private final WorkerPool workerPool;
    private final MonotonicClock clock;
    private final WatchState state;
    private final ReadBackoff backoff;
    private volatile boolean failing;
    private volatile boolean closed;

    /**
     * Creates a feed.
     *
     * @param key key of the value
     * @param reader reads the platform
     * @param sink receives values and confirmations; when it throws, the exception is logged and the value is skipped
     * @param budget limits the rate of reads by all feeds of this node
     * @param workerPool runs the feed
     * @param random generates the jitter that spreads the reads of many nodes
     * @param clock monotonic clock that times the reads
     */
    public PlatformFeed(
            String key,
            PlatformReader reader,
            PlatformSink sink,
            ReadBudget budget,
            WorkerPool workerPool,
            RandomGenerator random,
            MonotonicClock clock) {
        this.key = key;
        this.reader = reader;
        this.sink = sink;
        this.budget = budget;
        this.workerPool = workerPool;
        this.clock = clock;
        this.state = new WatchState(clock);
        this.backoff = new ReadBackoff(random);
    }

    /** Starts the watch. */
    public void start() {
        scheduleWatch(Duration.ZERO);
    }

    /**
     * Returns the state of the feed.
     *
     * @return current state
     */
    public Status status() {
        return new Status(
                key,
                failing,
                state.isRegressed(),
                Duration.ofNanos(clock.nowNanos() - state.confirmedNanos()).toMillis());
    }

    @Override
    public void close() {
        closed = true;
    }

    private void scheduleWatch(Duration delay) {
        if (!closed) {
            workerPool.schedule(delay.plus(budget.take()), this::watch);
        }
    }

    private void watch() {
        if (closed) {
            return;
        }
        long requestedNanos = clock.nowNanos();
        reader.watch(key, state.nextRevision(), LONG_POLL_WAIT)
                .whenComplete((value, failure) ->
                        scheduleWatch(failure == null ? onSuccess(value, requestedNanos) : onFailure(failure)));
    }

    private Duration onSuccess(Optional<PlatformValue> value, long requestedNanos) {
        failing = false;
        if (value.isPresent()) {
            boolean wasRegressed = state.isRegressed();
            state.recordValue(value.get(), requestedNanos);
            reportRegression(wasRegressed);
            notifySink("value", () -> sink.value(value.get(), requestedNanos));
        } else if (state.recordUnchanged(requestedNanos, LONG_POLL_WAIT)) {
            notifySink("confirmation", () -> sink.confirmed(state.revision(), state.confirmedNanos()));
        }
        return backoff.afterResponse();
    }

    private Duration onFailure(Throwable failure) {
        failing = true;
        state.recordFailure();
        logger.atWarning().log("platform: cannot read %s: %s", key, failure.getMessage());
        return backoff.afterFailure();
    }

    private void reportRegression(boolean wasRegressed) {
        if (state.isRegressed() && !wasRegressed) {
            logger.atWarning().log(
                    "platform: the revision of %s decreased to %d, or was given out again", key, state.revision());
        }
    }

    /** Notifies the sink. A failure of the sink is logged and does not end the watch. */
    private void notifySink(String what, Runnable notification) {
        try {
            notification.run();
        } catch (RuntimeException e) {
            logger.atWarning().log(
                    "platform: refused the %s of %s at revision %d: %s", what, key, state.revision(), e.getMessage());
        }
    }

    /**
     * State of a feed.
     *
     * @param key key of the value
     * @param failing whether the last read failed
     * @param regressed whether the last value has a lower revision than an earlier one, or the revision of another one
     * @param confirmedAgeMillis time since the platform last confirmed that the value was current
     */
    public record Status(String key, boolean failing, boolean regressed, long confirmedAgeMillis) {}
}
