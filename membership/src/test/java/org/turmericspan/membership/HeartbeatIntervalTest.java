package org.turmericspan.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.messages.PeerMessage;

final class HeartbeatIntervalTest {
    @Test
    void roundOfEighteenPeersTakesLessThanOneAndAHalfSeconds() {
        assertThat(HeartbeatInterval.compute(18, heartbeat(2)).multipliedBy(18)).isLessThan(Duration.ofMillis(1_500));
    }

    @Test
    void intervalGrowsWithNumberOfServices() {
        assertThat(HeartbeatInterval.compute(18, heartbeat(140)))
                .isGreaterThan(HeartbeatInterval.compute(18, heartbeat(2)));
    }

    @Test
    void singlePeerIsContactedAtMostOncePerMinimumRound() {
        assertThat(HeartbeatInterval.compute(1, heartbeat(0))).isGreaterThanOrEqualTo(Duration.ofMillis(400));
    }

    private static PeerMessage.Heartbeat heartbeat(int services) {
        return new PeerMessage.Heartbeat(
                new Incarnation(1),
                1,
                "",
                1,
                Duration.ZERO,
                false,
                IntStream.range(0, services)
                        .mapToObj(i -> new PeerMessage.IdleSlots(new ServiceId("service-" + i), 1, 0))
                        .toList());
    }
}
