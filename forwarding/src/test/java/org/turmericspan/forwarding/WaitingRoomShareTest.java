package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.turmericspan.forwarding.Replay.Kind;

/** Guards that no kind of request starves while another asks for more than all upstreams can run. */
final class WaitingRoomShareTest {
    private static final long SECONDS = 24;

    private static double served(List<ReplayedRequest> requests) {
        return (double) requests.stream().filter(ReplayedRequest::isServed).count() / requests.size();
    }

    /** Sixteen slots run 160 payments of 100 ms a second; more come, and 10 reads of 300 ms. */
    private static Replay mix(int maxWaiters, int paymentsPerSecond) {
        Replay replay = new Replay(maxWaiters);
        for (int i = 0; i < 4; i++) {
            replay.upstreams().add("u-" + i, Replay.SERVICE, Replay.ZONE, 4);
        }
        for (int i = 0; i < SECONDS * paymentsPerSecond; i++) {
            String caller = "p" + i;
            replay.at(i * 1_000L / paymentsPerSecond, () -> replay.send(Kind.PAYMENT, caller, 100));
        }
        for (int i = 0; i < SECONDS * 10; i++) {
            String caller = "r" + i;
            replay.at(i * 100L, () -> replay.send(Kind.READ, caller, 300));
        }
        replay.advance((SECONDS + 6) * 1_000);
        return replay;
    }

    /** Leaves out the first and last requests, which come before the overload and see its end. */
    private static List<ReplayedRequest> middle(List<ReplayedRequest> requests) {
        return requests.subList(requests.size() / 4, requests.size() * 3 / 4);
    }

    /** Payments and reads together ask for 15 of 16 slots. */
    @Test
    void reserveForPaymentsDoesNotShutOutReadsForWhichThereIsRoom() {
        Replay replay = mix(Replay.ROOM, 120);
        assertThat(served(replay.requests(Kind.PAYMENT))).isGreaterThan(0.99);
        assertThat(served(middle(replay.requests(Kind.READ)))).isGreaterThan(0.9);
    }

    @Test
    void readsAreServedAtLeastAQuarterAsOftenAsAllWhilePaymentsAskForMoreThanAllRoom() {
        Replay replay = mix(Replay.ROOM, 180);
        assertThat(served(middle(replay.requests(Kind.READ))))
                .isGreaterThanOrEqualTo(served(middle(replay.requests(Kind.PAYMENT))) / 4);
    }
}
