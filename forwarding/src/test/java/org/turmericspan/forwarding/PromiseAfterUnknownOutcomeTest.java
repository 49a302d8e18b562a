package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.turmericspan.balancing.Observation;
import org.turmericspan.ids.TenantId;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.tenancy.ApiKey;
import org.turmericspan.tenancy.RequestCap;
import org.turmericspan.tenancy.Tenant;
import org.turmericspan.tenancy.TenantDirectory;

/** Guards against the promise that a request did not run when one of several attempts may have run it. */
class PromiseAfterUnknownOutcomeTest extends ForwardingFixture {
    private static final int MANY_UPSTREAMS = 400;

    private static TenantDirectory tenants(String key, RequestCap cap) {
        return new TenantDirectory(
                List.of(new Tenant(new TenantId("press"), Set.of(new ApiKey(key)), cap, OptionalInt.empty())));
    }

    /** Makes an upstream one that takes no request, without an end of its connections. */
    private void makeUnhealthy(String id) {
        upstreams()
                .recordObservation(new UpstreamId(id), new Observation(clock().nowNanos(), 0, 0, 100, 0, true, false));
    }

    private String otherThanFirst() {
        return client().call(0).upstream().equals("u-0") ? "u-1" : "u-0";
    }

    @Test
    void noUpstreamIsLeft() {
        start(1, "/retry/1");
        client().call(0).breakConnection();
        worker().advance(Duration.ofMillis(100));
        assertThat(client().callCount()).isEqualTo(1);
        assertThat(reply().status()).isEqualTo(502);
    }

    @Test
    void processEndsWhileTheRetryWaitsForAnUpstream() {
        start(2, "/retry/1");
        makeUnhealthy(otherThanFirst());
        client().call(0).breakConnection();
        service().endRequests();
        worker().advance(Duration.ofMillis(100));
        assertThat(reply().status()).isEqualTo(502);
    }

    @Test
    void deadlinePassesWhileTheRetryIsInFlight() {
        start(2, "/retry/1");
        client().call(0).breakConnection();
        assertThat(client().callCount()).isEqualTo(2);
        worker().advance(Duration.ofMillis(950));
        assertThat(reply().status()).isEqualTo(504);
    }

    @Test
    void retryIsNotSent() {
        start(2, "/retry/1");
        client().call(0).breakConnection();
        client().call(1).failToConnect();
        worker().advance(Duration.ofMillis(100));
        assertThat(reply().status()).isEqualTo(502);
    }

    @ParameterizedTest
    @ValueSource(ints = {421, 429, 503})
    void retryIsProvenNotToHaveRun(int status) {
        start(2, "/retry/1");
        client().call(0).breakConnection();
        client().call(1).proveNotRun(status);
        assertThat(reply().status()).isEqualTo(502);
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void retryIsRefusedWithoutProof(int status) {
        start(2, "/retry/1");
        client().call(0).breakConnection();
        client().call(1).respond(status);
        assertThat(reply().status()).isEqualTo(502);
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void retryOfARequestThatFailedInItsRunIsRefusedWithoutProof(int status) {
        start(2, "/retry/1");
        client().call(0).respond(500);
        client().call(1).respond(status);
        assertThat(reply().status()).isEqualTo(500);
    }

    @Test
    void retryOfARequestThatWasRefusedWithoutProofIsBroken() {
        start(2, "/retry/1");
        client().call(0).respond(503);
        client().call(1).breakConnection();
        assertThat(reply().status()).isEqualTo(502);
    }

    @Test
    void deadlinePassesWhileTheRetryOfARefusedRequestIsInFlight() {
        start(2, "/retry/1");
        client().call(0).respond(503);
        worker().advance(Duration.ofMillis(950));
        assertThat(reply().status()).isEqualTo(504);
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void hedgeIsRefusedWithoutProofWhileTheFirstAttemptIsInFlight(int status) {
        start(2, "/retry/1");
        worker().advance(Duration.ofMillis(400));
        client().call(1).respond(status);
        assertThat(reply().hasResponse()).isFalse();
        client().call(0).breakConnection();
        assertThat(reply().status()).isEqualTo(502);
    }

    @Test
    void firstAttemptSucceedsAfterItsHedgeWasRefused() {
        start(2, "/retry/1");
        worker().advance(Duration.ofMillis(400));
        client().call(1).respond(429);
        client().call(0).respond(200);
        assertThat(reply().status()).isEqualTo(200);
    }

    @Test
    void firstAttemptIsProvenNotToHaveRunAndTheSecondBreaks() {
        start(3, "/once/1");
        client().call(0).proveNotRun(503);
        client().call(1).breakConnection();
        assertThat(client().callCount()).isEqualTo(2);
        assertThat(reply().status()).isEqualTo(502);
    }

    @Test
    void refusalOfTheOnlyAttemptThatMayHaveRunIsStillPassedOn() {
        start(2, "/retry/1");
        client().call(0).proveNotRun(503);
        client().call(1).respond(429);
        assertThat(reply().status()).isEqualTo(429);
    }

    @Test
    void retryBudgetIsEmpty() {
        start(MANY_UPSTREAMS, "/retry/0");
        FakeReply last = reply();
        client().call(0).breakConnection();
        int broken = 0;
        while (client().callCount() > broken + 1 && broken < MANY_UPSTREAMS) {
            broken = client().callCount();
            last = new FakeReply(worker());
            send("/retry/" + broken, last);
            client().call(broken).breakConnection();
        }
        assertThat(broken).isBetween(1, MANY_UPSTREAMS);
        assertThat(client().callCount()).as("calls, the last without a retry").isEqualTo(broken + 1);
        assertThat(last.status()).isEqualTo(502);
    }

    @Test
    void keyIsWithdrawnBeforeTheRetry() {
        configure(1, tenants("key-1", RequestCap.UNLIMITED));
        add("u-0");
        add("u-1");
        sendWithKey("/retry/1", "key-1", reply());
        configure(2, tenants("key-2", RequestCap.UNLIMITED));
        client().call(0).breakConnection();
        assertThat(client().callCount()).isEqualTo(1);
        assertThat(reply().status()).isEqualTo(502);
    }
}
