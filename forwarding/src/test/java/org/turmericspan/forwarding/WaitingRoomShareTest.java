package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.turmericspan.forwarding.Replay.Kind;

/** Guards that no kind of request starves while another asks for more than all upstreams can run. */
final class WaitingRoomShareTest {
    private static final long SECONDS = 15;

    private static double served(List<ReplayedRequest> requests) {
        return (double) requests.stream().filter(ReplayedRequest::isServed).count() / requests.size();
    }

    /** Four slots run 40 payments of 100 ms a second; 60 come, and 4 reads of 300 ms. */
    private static Replay overload(int maxWaiters) {
        Replay replay = new Replay(maxWaiters);
        replay.upstreams().add("u-0", Replay.SERVICE, Replay.ZONE, 2);
        replay.upstreams().add("u-1", Replay.SERVICE, Replay.ZONE, 2);
        for (int i = 0; i < SECONDS * 60; i++) {
            String caller = "p" + i;
            replay.at(i * 1_000L / 60, () -> replay.send(Kind.PAYMENT, caller, 100));
        }
        for (int i = 0; i < SECONDS * 4; i++) {
            String caller = "r" + i;
            replay.at(i * 250L, () -> replay.send(Kind.READ, caller, 300));
        }
        replay.advance((SECONDS + 6) * 1_000);
        return replay;
    }

    @Test
    void readsAreServedAtLeastAQuarterAsOftenAsAllWhilePaymentsTakeAllRoom() {
        for (int maxWaiters : new int[] {0, Replay.ROOM}) {
            Replay replay = overload(maxWaiters);
            System.out.printf(
                    "room %d: payments served %.2f, reads served %.2f%n",
                    maxWaiters, served(replay.requests(Kind.PAYMENT)), served(replay.requests(Kind.READ)));
        }
        Replay replay = overload(Replay.ROOM);
        assertThat(served(replay.requests(Kind.READ)))
                .isGreaterThanOrEqualTo(served(replay.requests(Kind.PAYMENT)) / 4);
    }
}
