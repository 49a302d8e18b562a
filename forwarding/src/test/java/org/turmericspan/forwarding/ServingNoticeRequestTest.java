package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Requests to upstreams that say in a response that they leave, or that they want no requests for a time. */
class ServingNoticeRequestTest extends ForwardingFixture {
    private final FakeReply secondReply = new FakeReply(worker());

    @Test
    void responseOfALeavingUpstreamIsForwardedAndTheNextRequestGoesElsewhere() {
        start(2, "/once/1");
        String leaving = client().call(0).upstream();
        client().call(0).respondWith(200, "leaving", "1");
        assertThat(reply().status()).isEqualTo(200);

        send("/once/2", secondReply);
        assertThat(client().call(1).upstream()).isNotEqualTo(leaving);
    }

    @Test
    void requestIsRefusedAtOnceWhenAllUpstreamsLeave() {
        start(1, "/once/1");
        client().call(0).respondWith(200, "leaving", "1");

        send("/once/2", secondReply);
        assertThat(secondReply.status()).isEqualTo(503);
        assertThat(client().callCount()).isEqualTo(1);
    }

    @Test
    void requestIsRetriedElsewhereWhenAnUpstreamWantsAPause() {
        start(2, "/once/1");
        client().call(0).rejectWith(503, "pause", "1000");
        assertThat(client().callCount()).isEqualTo(2);
        client().call(1).respond(200);
        assertThat(reply().status()).isEqualTo(200);
    }

    @Test
    void refusedRequestMayReturnWhenThePauseEnds() {
        start(1, "/once/1");
        client().call(0).rejectWith(503, "pause", "1000");

        send("/once/2", secondReply);
        assertThat(secondReply.status()).isEqualTo(503);
        double seconds = Double.parseDouble(
                secondReply.response().headers().first("Retry-After").orElseThrow());
        assertThat(seconds).isBetween(1.0, 1.3);
    }

    @Test
    void leavingUpstreamGetsNoHedge() {
        start(2, "/retry/1");
        String first = client().call(0).upstream();
        send("/once/2", secondReply);
        String other = client().call(1).upstream();
        assertThat(other).isNotEqualTo(first);
        client().call(1).respondWith(200, "leaving", "1");
        worker().advance(Duration.ofMillis(700));
        assertThat(client().callCount()).isEqualTo(2);
    }
}
