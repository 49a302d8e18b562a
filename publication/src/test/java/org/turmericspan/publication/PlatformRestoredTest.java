package org.turmericspan.publication;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.tables.WorkerPool;
import org.turmericspan.testkit.ManualClock;

/**
 * Guards against changes that are never read, and against old values that count as current, after the platform came
 * back from an older copy: revisions decrease and are given out again.
 */
final class PlatformRestoredTest {
    private static final Duration CHANGE_LIMIT = Duration.ofSeconds(10);
    private static final Duration TEST_LIMIT = Duration.ofSeconds(10);
    private static final PlatformValue BEFORE = new PlatformValue(271, "before");
    private static final PlatformValue RESTORED = new PlatformValue(200, "restored");
    private static final PlatformValue AFTER = new PlatformValue(201, "after");

    private final ManualClock clock = new ManualClock();
    private final FakePlatform platform = new FakePlatform(clock);
    private final RecordingSink sink = new RecordingSink();
    private final WorkerPool workerPool = new WorkerPool(1);
    private final PlatformFeed feed = new PlatformFeed(
            "configuration", platform, sink, new ReadBudget(clock), workerPool, new SplittableRandom(7), clock);

    @AfterEach
    void stop() {
        feed.close();
        workerPool.close();
    }

    @Test
    void changeBelowTheLastRevisionIsReadByTheFirstReadAfterLostContact() {
        startWith(BEFORE);

        platform.restoreAfterLostContact(Optional.of(AFTER));

        await(() -> sink.values.contains(AFTER));
        assertThat(platform.readsSinceLostContact()).startsWith(0L);
    }

    @Test
    void changeBelowTheLastRevisionIsReadWithinTheChangeLimitWhenNoReadFailed() {
        startWith(BEFORE);
        long restoredNanos = clock.nowNanos();

        platform.store(AFTER);

        await(() -> sink.values.contains(AFTER));
        assertThat(Duration.ofNanos(clock.nowNanos() - restoredNanos)).isLessThanOrEqualTo(CHANGE_LIMIT);
    }

    @Test
    void valueOfRevisionThatWasGivenOutAgainIsReadAndReported() {
        startWith(BEFORE);
        PlatformValue reused = new PlatformValue(BEFORE.revision(), "reused");

        platform.restoreAfterLostContact(Optional.of(reused));

        await(() -> sink.values.contains(reused));
        assertThat(feed.status().regressed()).isTrue();
    }

    @Test
    void lowerRevisionIsReportedUntilTheHighestOneIsPassed() {
        startWith(BEFORE);
        platform.restoreAfterLostContact(Optional.of(RESTORED));
        await(() -> sink.values.contains(RESTORED));
        platform.store(AFTER);
        await(() -> sink.values.contains(AFTER));

        assertThat(feed.status().regressed()).isTrue();

        PlatformValue passed = new PlatformValue(BEFORE.revision() + 1, "passed");
        platform.store(passed);
        await(() -> sink.values.contains(passed));
        assertThat(feed.status().regressed()).isFalse();
    }

    @Test
    void valueThatIsMissingAfterLostContactIsNotConfirmed() {
        startWith(BEFORE);

        platform.restoreAfterLostContact(Optional.empty());
        long lostNanos = clock.nowNanos();
        await(() -> platform.readsSinceLostContact().size() >= 3);

        assertThat(sink.confirmedNanos).allMatch(atNanos -> atNanos <= lostNanos);
    }

    private void startWith(PlatformValue value) {
        platform.store(value);
        feed.start();
        await(() -> sink.values.contains(value));
    }

    private void await(BooleanSupplier condition) {
        assertThat(platform.awaitRead(condition)).as("condition holds in time").isTrue();
    }

    /** Serves one value, whose revision may go back; a read that finds nothing newer takes the whole wait. */
    private static final class FakePlatform implements PlatformReader {
        private final ManualClock clock;
        private final List<Long> readsSinceLostContact = new ArrayList<>();
        private Optional<PlatformValue> stored = Optional.empty();
        private boolean failsNextRead;

        FakePlatform(ManualClock clock) {
            this.clock = clock;
        }

        @Override
        public synchronized CompletionStage<Optional<PlatformValue>> watch(
                String key, long afterRevision, Duration wait) {
            notifyAll();
            if (failsNextRead) {
                failsNextRead = false;
                return CompletableFuture.failedFuture(new IllegalStateException("no contact"));
            }
            readsSinceLostContact.add(afterRevision);
            Optional<PlatformValue> newer = stored.filter(value -> value.revision() > afterRevision);
            if (newer.isEmpty()) {
                clock.advance(wait);
            }
            return CompletableFuture.completedFuture(newer);
        }

        synchronized void store(PlatformValue value) {
            stored = Optional.of(value);
        }

        /** Fails the next read, after which the platform has another value, or none. */
        synchronized void restoreAfterLostContact(Optional<PlatformValue> value) {
            stored = value;
            failsNextRead = true;
            readsSinceLostContact.clear();
        }

        synchronized List<Long> readsSinceLostContact() {
            return List.copyOf(readsSinceLostContact);
        }

        synchronized boolean awaitRead(BooleanSupplier condition) {
            long endNanos = System.nanoTime() + TEST_LIMIT.toNanos();
            while (!condition.getAsBoolean()) {
                long leftMillis = Duration.ofNanos(endNanos - System.nanoTime()).toMillis();
                if (leftMillis <= 0) {
                    return false;
                }
                try {
                    wait(leftMillis);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return false;
                }
            }
            return true;
        }
    }

    /** Records the values and the times that were confirmed. */
    private static final class RecordingSink implements PlatformSink {
        private final List<PlatformValue> values = new CopyOnWriteArrayList<>();
        private final List<Long> confirmedNanos = new CopyOnWriteArrayList<>();

        @Override
        public void value(PlatformValue value, long requestedNanos) {
            values.add(value);
        }

        @Override
        public void confirmed(long revision, long atNanos) {
            confirmedNanos.add(atNanos);
        }
    }
}
