package org.turmericspan.publication;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.tables.WorkerPool;

/** Guards against a feed that stops watching because its sink threw an exception. */
final class PlatformFeedTest {
    private static final long TIMEOUT_SECONDS = 20;

    @Test
    void feedContinuesAfterSinkThrowsOnConfirmation() throws InterruptedException {
        assertThat(keepsWatching(Optional.empty())).as("watched again").isTrue();
    }

    @Test
    void feedContinuesAfterSinkThrowsOnValue() throws InterruptedException {
        assertThat(keepsWatching(Optional.of(new PlatformValue(1, ""))))
                .as("watched again")
                .isTrue();
    }

    private static boolean keepsWatching(Optional<PlatformValue> response) throws InterruptedException {
        CountDownLatch watches = new CountDownLatch(3);
        PlatformReader reader = (key, afterRevision, wait) -> {
            watches.countDown();
            return CompletableFuture.completedFuture(response);
        };
        try (WorkerPool workerPool = new WorkerPool(1);
                PlatformFeed feed = feed(reader, workerPool)) {
            feed.start();
            return watches.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static PlatformFeed feed(PlatformReader reader, WorkerPool workerPool) {
        MonotonicClock clock = MonotonicClock.system();
        return new PlatformFeed(
                "configuration",
                reader,
                new FailingSink(),
                new ReadBudget(clock),
                workerPool,
                new SplittableRandom(7),
                clock);
    }

    /** Throws an exception on every notification. */
    private static final class FailingSink implements PlatformSink {
        @Override
        public void value(PlatformValue value, long requestedNanos) {
            throw new IllegalStateException("no value");
        }

        @Override
        public void confirmed(long revision, long atNanos) {
            throw new IllegalStateException("no confirmation");
        }
    }
}
