package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.RequestMessage;

/** Load: requests that wait on their connection behind requests that were sent before them. */
class RequestSentAheadTest extends ForwardingFixture {
    private final FakeReply secondReply = new FakeReply(worker());

    private static RequestMessage request(String method, String target) {
        return new RequestMessage(method, target, HeaderList.EMPTY.with("Host", "h:80"), new byte[0]);
    }

    @Test
    void routeDecidesWhetherARequestMayBeRepeatedAndNotTheMethod() {
        configure();
        assertThat(service().isRepeatable(request("POST", "/retry/1?a=b"))).isTrue();
        assertThat(service().isRepeatable(request("GET", "/once/1"))).isFalse();
        assertThat(service().isRepeatable(request("GET", "/other/1"))).isFalse();
    }

    @Test
    void withoutConfigurationNothingIsKnownToBeRepeatable() {
        assertThat(service().isRepeatable(request("GET", "/retry/1"))).isFalse();
        assertThat(service().hasRoom(request("GET", "/retry/1"))).isFalse();
    }

    @Test
    void thereIsRoomWhileAnUpstreamTakesRequests() {
        start(2, "/retry/1");
        assertThat(service().hasRoom(request("GET", "/retry/2"))).isTrue();
        client().call(0).rejectWith(503, "pause", "1000");
        assertThat(service().hasRoom(request("GET", "/retry/2"))).isTrue();
        client().call(1).rejectWith(503, "pause", "1000");
        assertThat(service().hasRoom(request("GET", "/retry/2"))).isFalse();
    }

    @Test
    void deadlineCountsFromTheArrivalOfTheRequest() {
        secondReply.setWaitedNanos(TimeUnit.MILLISECONDS.toNanos(500));
        start(1, "/none");
        send("/once/2", secondReply);
        assertThat(client().call(0).request().headers().first(FakeCallProtocol.REMAINING_MILLIS))
                .hasValue("300");
    }

    @Test
    void requestWhoseTimeIsUpBeforeItStartsIsNotSent() {
        secondReply.setWaitedNanos(TimeUnit.MILLISECONDS.toNanos(801));
        start(1, "/none");
        send("/once/2", secondReply);
        assertThat(client().callCount()).isZero();
        assertThat(secondReply.status()).isEqualTo(503);
    }
}
