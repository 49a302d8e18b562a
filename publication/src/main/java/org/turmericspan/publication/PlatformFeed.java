package org.turmericspan.publication;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.WorkerPool;

/** Keeps one watch open on one key and hands every newer value on. */
public final class PlatformFeed implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration WAIT = Duration.ofMillis(2_500);

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
     * @param key name of the value
     * @param reader reads the platform
     * @param sink takes what is learned; its exceptions are logged and the value is skipped
     * @param budget bounds the reads of all feeds of this node
     * @param workerPool runs the feed
     * @param random spreads the reads of many nodes
     * @param clock measures the reads
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

    /** Starts to watch. */
    public void start() {
        watchAfter(Duration.ZERO);
    }

    /**
     * Describes the feed.
     *
     * @return its state now
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

    private void watchAfter(Duration pause) {
        if (!closed) {
            workerPool.schedule(pause.plus(budget.take()), this::watch);
        }
    }

    private void watch() {
        if (closed) {
            return;
        }
        long askedNanos = clock.nowNanos();
        reader.watch(key, state.nextRevision(), WAIT)
                .whenComplete(
                        (value, failure) -> watchAfter(failure == null ? succeed(value, askedNanos) : fail(failure)));
    }

    private Duration succeed(Optional<PlatformValue> value, long askedNanos) {
        failing = false;
        if (value.isPresent()) {
            state.value(value.get(), askedNanos);
            reportRegression();
            tell("value", () -> sink.value(value.get(), askedNanos));
        } else {
            state.noNews(askedNanos, WAIT);
            tell("confirmation", () -> sink.confirmed(state.revision(), state.confirmedNanos()));
        }
        return backoff.afterAnswer();
    }

    private Duration fail(Throwable failure) {
        failing = true;
        logger.atWarning().log("platform: cannot read %s: %s", key, failure.getMessage());
        return backoff.afterFailure();
    }

    private void reportRegression() {
        if (state.isRegressed()) {
            logger.atWarning().log("platform: %s went back to revision %d", key, state.revision());
        }
    }

    /** Tells the sink; one that fails must not end the watch. */
    private void tell(String what, Runnable telling) {
        try {
            telling.run();
        } catch (RuntimeException e) {
            logger.atWarning().log(
                    "platform: refused the %s of %s at revision %d: %s", what, key, state.revision(), e.getMessage());
        }
    }

    /**
     * State of a feed.
     *
     * @param key name of the value
     * @param failing whether the last read failed
     * @param regressed whether the platform last showed a lower revision than before
     * @param confirmedAgeMillis time since the last value was known to be the newest
     */
    public record Status(String key, boolean failing, boolean regressed, long confirmedAgeMillis) {}
}
