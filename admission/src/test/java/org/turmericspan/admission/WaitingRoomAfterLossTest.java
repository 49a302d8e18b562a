package org.turmericspan.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.testkit.ManualClock;

/** Guards that a service which was lost and drains fast again does not look slow to the requests that come next. */
final class WaitingRoomAfterLossTest {
    private static final ServiceId SERVICE = new ServiceId("desk");
    private static final Duration LOSS = Duration.ofSeconds(1);
    private static final Duration START_INTERVAL = Duration.ofMillis(5);
    private static final int STARTS_AFTER_LOSS = 20;

    private final ManualClock clock = new ManualClock();
    private final WaitingRoom<String> room = new WaitingRoom<>(64, clock);

    private WaitDecision<String> arrive(String share) {
        long untilNanos = clock.nowNanos() + Duration.ofMillis(1_500).toNanos();
        return room.arrive(new WaitRequest(SERVICE, 1, share, untilNanos, untilNanos), share);
    }

    private void startHead() {
        Optional<Waiter<String>> head = room.head(0);
        assertThat(head).isPresent();
        assertThat(room.start(head.get())).isTrue();
    }

    @Test
    void requestThatWouldStartWithinMillisecondsIsNotHopelessAfterALoss() {
        arrive("first");
        clock.advance(LOSS);
        startHead();
        for (int i = 0; i < STARTS_AFTER_LOSS; i++) {
            arrive("s" + i);
            clock.advance(START_INTERVAL);
            startHead();
        }
        for (int ahead = 0; ahead < 3; ahead++) {
            assertThat(arrive("a" + ahead))
                    .as("ahead %s, interval %s", ahead, room.startInterval())
                    .isInstanceOf(WaitDecision.Waits.class);
        }
    }
}
