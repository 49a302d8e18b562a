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

/** What keeps a feed watching. */
final class PlatformFeedTest {
    private static final long LIMIT_SECONDS = 20;

    @Test
    void feedGoesOnAfterItsSinkFailedOnAConfirmation() throws InterruptedException {
        assertThat(watches(Optional.empty())).as("watched again").isTrue();
    }

    @Test
    void feedGoesOnAfterItsSinkRefusedAValue() throws InterruptedException {
        assertThat(watches(Optional.of(new PlatformValue(1, ""))))
                .as("watched again")
                .isTrue();
    }

    private static boolean watches(Optional<PlatformValue> answer) throws InterruptedException {
        CountDownLatch watches = new CountDownLatch(3);
        PlatformReader reader = (key, afterRevision, wait) -> {
            watches.countDown();
            return CompletableFuture.completedFuture(answer);
        };
        try (WorkerPool workerPool = new WorkerPool(1);
                PlatformFeed feed = feed(reader, workerPool)) {
            feed.start();
            return watches.await(LIMIT_SECONDS, TimeUnit.SECONDS);
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

    /** Fails on whatever it is told. */
    private static final class FailingSink implements PlatformSink {
        @Override
        public void value(PlatformValue value, long askedNanos) {
            throw new IllegalStateException("no value");
        }

        @Override
        public void confirmed(long revision, long atNanos) {
            throw new IllegalStateException("no confirmation");
        }
    }
}
