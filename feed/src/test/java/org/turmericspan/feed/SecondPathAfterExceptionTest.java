package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.turmericspan.events.EventLog;

/** One unexpected exception does not end the second path of changes for the rest of the process. */
class SecondPathAfterExceptionTest {
    @Test
    void nodeGoesOnToAskTheStoreAfterAnException() {
        FeedFixture node = new FeedFixture();
        node.start(10);
        node.feed().confirm(0);
        AtomicInteger calls = new AtomicInteger();
        Supplier<FleetPosition> positions = () -> {
            if (calls.getAndIncrement() == 0) {
                throw new IllegalStateException("once");
            }
            return new FleetPosition(0, 19);
        };
        new StoreProbes(
                        node.feed(),
                        FeedFixture.STORE,
                        positions,
                        node.limits(),
                        node.worker(),
                        node.clock(),
                        new SplittableRandom(1),
                        EventLog.none())
                .start();
        node.worker().advance(Duration.ofSeconds(20));
        assertThat(node.reader().count(StoreSource.Kind.STORE)).isPositive();
    }
}
