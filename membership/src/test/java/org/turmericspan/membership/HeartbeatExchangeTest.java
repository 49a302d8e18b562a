package org.turmericspan.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.tables.WorkerPool;

/** Guards against an exchange of heartbeats that stops because one run throws an exception. */
final class HeartbeatExchangeTest {
    private static final long TIMEOUT_SECONDS = 20;

    @Test
    void exchangeContinuesWhenIntervalPolicyThrows() throws InterruptedException {
        MonotonicClock clock = MonotonicClock.system();
        CountingLinks links = new CountingLinks();
        HeartbeatExchange.Plan plan = new HeartbeatExchange.Plan(
                HeartbeatExchangeTest::heartbeat, () -> List.of(new VmId("entry-01")), (count, sent) -> {
                    throw new IllegalStateException("no interval");
                });
        try (WorkerPool workerPool = new WorkerPool(1);
                HeartbeatExchange heartbeatExchange = new HeartbeatExchange(
                        plan, new PeerTable(clock), links, workerPool, new SplittableRandom(7), clock)) {
            heartbeatExchange.start(() -> {});

            assertThat(links.requests.await(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .as("further heartbeats sent")
                    .isTrue();
        }
    }

    private static PeerMessage.Heartbeat heartbeat() {
        return new PeerMessage.Heartbeat(
                Incarnation.draw(new SplittableRandom(1)), 1, "", 1, Duration.ZERO, false, List.of());
    }

    /** Counts the requests and replies to each that the peer is unreachable. */
    private static final class CountingLinks implements PeerLinks {
        private final CountDownLatch requests = new CountDownLatch(3);

        @Override
        public void tell(VmId peer, PeerMessage message) {}

        @Override
        public CompletionStage<PeerMessage> ask(VmId peer, PeerMessage message, Duration timeout) {
            requests.countDown();
            return CompletableFuture.completedFuture(new PeerMessage.Unreachable(false));
        }
    }
}
