package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.turmericspan.forwarding.Replay.Kind;

/** Guards that a head which no upstream with room may serve does not keep that room from the requests behind it. */
final class WaitingRoomHeadTest {
    private final Replay replay = new Replay(Replay.ROOM);

    /** A fast upstream is held by a long read and a slow one is idle; the typical time of a payment is known. */
    private void prepare() {
        replay.upstreams().add("u-0", Replay.SERVICE, Replay.ZONE, 1);
        for (int i = 0; i < 8; i++) {
            replay.send(Kind.PAYMENT, "w" + i, 100);
            replay.advance(300);
        }
        replay.send(Kind.READ, "long", 2_400);
        replay.advance(5);
        replay.upstreams().add("u-1", Replay.SERVICE, Replay.ZONE, 1);
        replay.upstreams().setSlowPercent("u-1", 400);
        replay.advance(300);
    }

    private ReplayedRequest returning(String caller, long leftMillis) {
        ReplayedRequest request = new ReplayedRequest(replay, Kind.PAYMENT, caller, 100);
        replay.handle(request, caller, leftMillis);
        return request;
    }

    @Test
    void lateRequestWithTimeLeftStartsAtTheSlowUpstream() {
        prepare();
        returning("next", 1_200);
        replay.advance(45);
        assertThat(replay.waiting()).isZero();
    }

    @Test
    void lateHeadWithLittleTimeDoesNotKeepASlowUpstreamFromThoseBehindIt() {
        prepare();
        replay.advance(1);
        returning("head", 330);
        replay.advance(45);
        assertThat(replay.waiting()).isEqualTo(1);
        returning("next", 1_200);
        replay.advance(45);
        assertThat(replay.waiting()).isEqualTo(1);
    }
}
