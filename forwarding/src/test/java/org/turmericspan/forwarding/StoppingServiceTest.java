package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against requests that a stopping node passes on and does not answer before its process ends. */
class StoppingServiceTest extends ForwardingFixture {
    private final FakeReply lateReply = new FakeReply(worker());

    private void stopIn(long millis) {
        service().stopAt(clock().nowNanos() + TimeUnit.MILLISECONDS.toNanos(millis));
    }

    @Test
    void requestWhoseDeadlineComesTooLateIsRefusedAtOnceAndNotSent() {
        start(1, "/none");
        stopIn(900);
        send("/once/1", lateReply);
        assertThat(client().callCount()).isZero();
        assertThat(lateReply.status()).isEqualTo(503);
    }

    @Test
    void refusedCallerMayAskAnotherNodeAtOnce() {
        start(1, "/none");
        stopIn(0);
        send("/once/1", lateReply);
        assertThat(lateReply.response().headers().first("Retry-After")).hasValue("0.0");
    }

    @Test
    void requestThatEndsInTimeIsPassedOn() {
        start(1, "/none");
        stopIn(1_100);
        send("/once/1", lateReply);
        client().call(0).respond(200);
        assertThat(lateReply.status()).isEqualTo(200);
    }

    @Test
    void requestAcceptedBeforeTheStopGoesOn() {
        start(1, "/once/1");
        stopIn(0);
        assertThat(service().isQuiet()).isFalse();
        client().call(0).respond(200);
        assertThat(reply().status()).isEqualTo(200);
    }

    @Test
    void requestAcceptedBeforeTheStopIsStillRetriedWhenProvenNotRun() {
        start(2, "/once/1");
        stopIn(0);
        client().call(0).proveNotRun(503);
        assertThat(client().callCount()).isEqualTo(2);
    }

    @Test
    void outcomeOfARequestInProgressIsUnknownWhenTheProcessEnds() {
        start(1, "/once/1");
        service().endRequests();
        worker().advance(Duration.ZERO);
        assertThat(reply().status()).isEqualTo(502);
    }

    @Test
    void requestThatWasNotSentIsReportedAsNotRunWhenTheProcessEnds() {
        start(0, "/once/1");
        service().endRequests();
        worker().advance(Duration.ZERO);
        assertThat(reply().status()).isEqualTo(503);
    }

    /** Guards against a response of an upstream that the end of the process replaces by one of the node. */
    @Test
    void errorOfTheUpstreamIsReturnedWhenTheProcessEndsDuringTheRetry() {
        start(2, "/retry/1");
        client().call(0).respond(500);
        service().endRequests();
        worker().advance(Duration.ZERO);
        assertThat(reply().status()).isEqualTo(500);
    }

    @Test
    void serviceIsQuietSomeTimeAfterTheLastRequest() {
        start(1, "/once/1");
        client().call(0).respond(200);
        assertThat(service().isQuiet()).isFalse();
        worker().advance(Duration.ofMillis(400));
        assertThat(service().isQuiet()).isTrue();
    }
}
