package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.turmericspan.balancing.Observation;
import org.turmericspan.ids.UpstreamId;

class ForwardingServiceTest extends ForwardingFixture {
    @Test
    void completeResponseIsForwarded() {
        start(1, "/once/1");
        client().call(0).respond(200);
        assertThat(reply().status()).isEqualTo(200);
        assertThat(reply().response().body()).asString().isEqualTo("answer 200");
    }

    @Test
    void upstreamReceivesTheRemainingTime() {
        start(1, "/once/1");
        assertThat(client().call(0).request().headers().first(FakeCallProtocol.REMAINING_MILLIS))
                .hasValue("800");
    }

    @Test
    void unknownRouteIsNotFound() {
        start(1, "/other/1");
        assertThat(reply().status()).isEqualTo(404);
    }

    @Test
    void withoutConfigurationNothingIsDenied() {
        send("/once/1");
        worker().advance(Duration.ofSeconds(1));
        assertThat(reply().status()).isEqualTo(503);
        assertThat(reply().response().headers().first("Retry-After")).isPresent();
    }

    @Test
    void requestThatArrivesBeforeTheConfigurationWaitsForIt() {
        send("/once/1");
        start(1, "/none");
        worker().advance(Duration.ofMillis(100));
        assertThat(client().callCount()).isEqualTo(1);
    }

    @Test
    void nonIdempotentRequestIsNotRetriedAfterABrokenConnection() {
        start(2, "/once/1");
        client().call(0).breakConnection();
        assertThat(client().callCount()).isEqualTo(1);
        assertThat(reply().status()).isEqualTo(502);
    }

    @Test
    void nonIdempotentRequestIsRetriedWhenProvenNotRun() {
        start(2, "/once/1");
        client().call(0).proveNotRun(503);
        assertThat(client().callCount()).isEqualTo(2);
        assertThat(client().call(1).upstream()).isNotEqualTo(client().call(0).upstream());
        client().call(1).respond(200);
        assertThat(reply().status()).isEqualTo(200);
    }

    @Test
    void serverErrorOfANonIdempotentRequestIsForwarded() {
        start(2, "/once/1");
        client().call(0).respond(500);
        assertThat(client().callCount()).isEqualTo(1);
        assertThat(reply().status()).isEqualTo(500);
    }

    @Test
    void successWithoutASignatureIsNeverPassedOn() {
        start(2, "/once/1");
        client().call(0).respondUnsigned(200);
        assertThat(client().callCount()).isEqualTo(1);
        assertThat(reply().status()).isEqualTo(502);
    }

    @Test
    void idempotentRequestIsRepeatedAfterASuccessWithoutASignature() {
        start(2, "/retry/1");
        client().call(0).respondUnsigned(200);
        client().call(1).respond(200);
        assertThat(reply().status()).isEqualTo(200);
    }

    @Test
    void nonIdempotentRequestIsNeverHedged() {
        start(2, "/once/1");
        worker().advance(Duration.ofMillis(700));
        assertThat(client().callCount()).isEqualTo(1);
    }

    /** Guards against a response of an upstream that the deadline of a retry replaces by one of the node. */
    @Test
    void errorOfTheUpstreamIsReturnedWhenTheRetryTimesOut() {
        start(2, "/retry/1");
        client().call(0).respond(500);
        worker().advance(Duration.ofMillis(950));
        assertThat(reply().status()).isEqualTo(500);
    }

    @Test
    void nonIdempotentRequestThatTimesOutHasAnUnknownOutcome() {
        start(2, "/once/1");
        worker().advance(Duration.ofMillis(950));
        assertThat(reply().status()).isEqualTo(504);
        assertThat(client().call(0).isCancelled()).isFalse();
    }

    @Test
    void idempotentRequestIsRetriedAfterABrokenConnection() {
        start(2, "/retry/1");
        client().call(0).breakConnection();
        client().call(1).respond(200);
        assertThat(reply().status()).isEqualTo(200);
    }

    @Test
    void attemptsStayWithinTheRoutesMaximum() {
        start(4, "/retry/1");
        client().call(0).breakConnection();
        client().call(1).breakConnection();
        assertThat(client().callCount()).isEqualTo(2);
        assertThat(reply().status()).isEqualTo(502);
    }

    @Test
    void refusedConnectionDoesNotCountAsAnAttempt() {
        start(4, "/once/1");
        client().call(0).failToConnect();
        client().call(1).failToConnect();
        client().call(2).respond(200);
        assertThat(reply().status()).isEqualTo(200);
    }

    @Test
    void requestShedByAllUpstreamsIsReportedAsNotRun() {
        start(2, "/once/1");
        client().call(0).proveNotRun(503);
        client().call(1).proveNotRun(503);
        assertThat(reply().status()).isEqualTo(503);
        assertThat(reply().response().headers().first("Retry-After")).isPresent();
    }

    @Test
    void lateIdempotentRequestIsHedgedAndTheSlowerAttemptCancelled() {
        start(2, "/retry/1");
        worker().advance(Duration.ofMillis(400));
        assertThat(client().callCount()).isEqualTo(2);
        client().call(1).respond(200);
        assertThat(reply().status()).isEqualTo(200);
        assertThat(client().call(0).isCancelled()).isTrue();
    }

    @Test
    void requestIsHedgedEarlyWhenItsUpstreamSlowsDown() {
        start(2, "/retry/1");
        worker().advance(Duration.ofMillis(10));
        upstreams()
                .recordObservation(
                        new UpstreamId(client().call(0).upstream()),
                        new Observation(clock().nowNanos(), 1, 0, 400, 0, true, true));
        worker().advance(Duration.ofMillis(100));
        assertThat(client().callCount()).isEqualTo(2);
    }

    @Test
    void callerDisconnectCancelsAnIdempotentAttemptImmediately() {
        start(2, "/retry/1");
        reply().disconnect();
        assertThat(client().call(0).isCancelled()).isTrue();
        worker().advance(Duration.ofSeconds(2));
        assertThat(client().callCount()).isEqualTo(1);
        assertThat(reply().hasResponse()).isFalse();
    }

    @Test
    void requestWithoutUpstreamsIsSoonReportedAsNotRun() {
        start(0, "/once/1");
        worker().advance(Duration.ofMillis(60));
        assertThat(reply().status()).isEqualTo(503);
    }

    private void observeSlowdown(String id, int slowdownPercent) {
        upstreams()
                .recordObservation(
                        new UpstreamId(id), new Observation(clock().nowNanos(), 0, 0, slowdownPercent, 0, true, true));
    }

    /** Makes the load reports of all upstreams stale, and leaves probes of them in flight. */
    private void makeLoadReportsStale() {
        worker().advance(Duration.ofMillis(200));
        prober().hold();
    }

    @Test
    void upstreamsAreAskedForTheirLoadBeforeTheChoice() {
        configure();
        add("u-0");
        add("u-1");
        makeLoadReportsStale();
        send("/once/1");
        assertThat(client().callCount()).isZero();
        observeSlowdown("u-0", 400);
        prober().complete(new UpstreamId("u-0"));
        observeSlowdown("u-1", 100);
        prober().complete(new UpstreamId("u-1"));
        assertThat(client().call(0).upstream()).isEqualTo("u-1");
    }

    @Test
    void firstGoodLoadReportEndsTheWait() {
        configure();
        add("u-0");
        add("u-1");
        makeLoadReportsStale();
        send("/once/1");
        observeSlowdown("u-1", 100);
        prober().complete(new UpstreamId("u-1"));
        assertThat(client().call(0).upstream()).isEqualTo("u-1");
        prober().complete(new UpstreamId("u-0"));
        assertThat(client().callCount()).isEqualTo(1);
    }

    @Test
    void unresponsiveUpstreamsDelayARequestOnlyBriefly() {
        configure();
        add("u-0");
        makeLoadReportsStale();
        send("/once/1");
        worker().advance(Duration.ofMillis(20));
        assertThat(client().callCount()).isEqualTo(1);
    }

    @Test
    void callerDisconnectDuringLoadProbesCausesNoAttempt() {
        configure();
        add("u-0");
        makeLoadReportsStale();
        send("/once/1");
        reply().disconnect();
        prober().complete(new UpstreamId("u-0"));
        worker().advance(Duration.ofMillis(20));
        assertThat(client().callCount()).isZero();
    }

    @Test
    void requestWaitsBrieflyForAnUpstreamThatRespondsInTime() {
        configure();
        add("u-0");
        worker().advance(Duration.ofMillis(1));
        observeSlowdown("u-0", 900);
        send("/once/1");
        assertThat(client().callCount()).isZero();
        worker().advance(Duration.ofMillis(1));
        observeSlowdown("u-0", 100);
        worker().advance(Duration.ofMillis(10));
        assertThat(client().callCount()).isEqualTo(1);
    }

    @Test
    void slowUpstreamIsUsedWhenNoOtherBecomesAvailable() {
        configure();
        add("u-0");
        worker().advance(Duration.ofMillis(1));
        observeSlowdown("u-0", 900);
        send("/once/1");
        worker().advance(Duration.ofMillis(50));
        assertThat(client().callCount()).isEqualTo(1);
    }

    @Test
    void waitForTheConfigurationIsSubtractedFromTheRemainingTime() {
        send("/once/1");
        worker().advance(Duration.ofMillis(100));
        configure();
        add("u-0");
        worker().advance(Duration.ofMillis(100));
        assertThat(client().call(0).request().headers().first(FakeCallProtocol.REMAINING_MILLIS))
                .hasValueSatisfying(
                        remaining -> assertThat(Long.parseLong(remaining)).isLessThanOrEqualTo(700));
    }

    /** Adds a second, slower upstream, sends another request and returns the upstream that receives it. */
    private String upstreamOfNextRequest(String path, int otherSlowdownPercent) {
        add("u-1");
        clock().advance(Duration.ofMillis(1));
        observeSlowdown("u-0", 100);
        observeSlowdown("u-1", otherSlowdownPercent);
        int callsBefore = client().callCount();
        send(path);
        worker().advance(Duration.ofMillis(60));
        return client().call(callsBefore).upstream();
    }

    @Test
    void upstreamWithAnOverdueResponseAtCallerDisconnectIsAvoided() {
        start(1, "/retry/1");
        worker().advance(Duration.ofMillis(700));
        reply().disconnect();
        assertThat(upstreamOfNextRequest("/retry/2", 150)).isEqualTo("u-1");
    }

    @Test
    void earlyCallerDisconnectDoesNotCountAgainstTheUpstream() {
        start(1, "/retry/1");
        worker().advance(Duration.ofMillis(500));
        reply().disconnect();
        assertThat(upstreamOfNextRequest("/retry/2", 150)).isEqualTo("u-0");
    }

    @Test
    void upstreamOutrunByAnotherIsAvoided() {
        start(2, "/retry/1");
        String outrun = client().call(0).upstream();
        worker().advance(Duration.ofMillis(400));
        client().call(1).respond(200);
        assertThat(reply().status()).isEqualTo(200);
        clock().advance(Duration.ofMillis(1));
        observeSlowdown("u-0", outrun.equals("u-0") ? 100 : 150);
        observeSlowdown("u-1", outrun.equals("u-1") ? 100 : 150);
        send("/retry/2");
        assertThat(client().call(2).upstream()).isNotEqualTo(outrun);
    }

    @Test
    void upstreamWithAnOverdueNonIdempotentResponseIsAvoidedBeforeTheDeadline() {
        start(1, "/once/1");
        worker().advance(Duration.ofMillis(650));
        assertThat(reply().hasResponse()).isFalse();
        assertThat(upstreamOfNextRequest("/once/2", 300)).isEqualTo("u-1");
    }

    @Test
    void lateResponseToAnOverdueAttemptIsForwarded() {
        start(1, "/once/1");
        worker().advance(Duration.ofMillis(700));
        client().call(0).respond(200);
        assertThat(reply().status()).isEqualTo(200);
    }

    @Test
    void responseOfASlowUpstreamIsOverdueLater() {
        configure();
        add("u-0");
        worker().advance(Duration.ofMillis(1));
        observeSlowdown("u-0", 200);
        send("/once/1");
        worker().advance(Duration.ofMillis(700));
        assertThat(upstreamOfNextRequest("/once/2", 300)).isEqualTo("u-0");
    }

    /** Records a typical latency of 100 ms for the route. */
    private void recordTypicalLatency(String path) {
        start(1, path);
        worker().advance(Duration.ofMillis(100));
        client().call(0).respond(200);
    }

    @Test
    void requestThatNoUpstreamCanCompleteBeforeItsDeadlineIsRefusedAsNotRun() {
        recordTypicalLatency("/once/1");
        observeSlowdown("u-0", 1_200);
        FakeReply second = new FakeReply(worker());
        send("/once/2", second);
        worker().advance(Duration.ofMillis(60));
        assertThat(client().callCount()).isEqualTo(1);
        assertThat(second.status()).isEqualTo(503);
        assertThat(second.response().headers().first("Retry-After")).isPresent();
    }

    @Test
    void requestThatASlowUpstreamCanCompleteBeforeItsDeadlineIsSent() {
        recordTypicalLatency("/once/1");
        observeSlowdown("u-0", 600);
        send("/once/2", new FakeReply(worker()));
        worker().advance(Duration.ofMillis(60));
        assertThat(client().callCount()).isEqualTo(2);
    }

    @Test
    void upstreamWithoutSlowdownIsTriedAlthoughTheRouteWasSlowerThanTheDeadline() {
        start(1, "/retry/1");
        worker().advance(Duration.ofMillis(790));
        client().call(0).respond(200);
        observeSlowdown("u-0", 100);
        worker().advance(Duration.ofMillis(100));
        observeSlowdown("u-0", 110);
        send("/retry/2", "400", new FakeReply(worker()));
        worker().advance(Duration.ofMillis(60));
        assertThat(client().callCount()).isEqualTo(2);
    }
}
