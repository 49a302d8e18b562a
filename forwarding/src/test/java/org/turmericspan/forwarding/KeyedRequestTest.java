package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.turmericspan.caps.CapDecision;
import org.turmericspan.ids.TenantId;
import org.turmericspan.tenancy.ApiKey;
import org.turmericspan.tenancy.RequestCap;
import org.turmericspan.tenancy.Tenant;
import org.turmericspan.tenancy.TenantDirectory;

/** Requests of callers with keys: who they are, what upstreams are told, and the charge to the cap. */
class KeyedRequestTest extends ForwardingFixture {
    private static final RequestCap CAP = new RequestCap(10, 10);

    private static Tenant tenant(String name, RequestCap cap, String... keys) {
        Set<ApiKey> apiKeys = Arrays.stream(keys).map(ApiKey::new).collect(Collectors.toSet());
        return new Tenant(new TenantId(name), apiKeys, cap, OptionalInt.empty());
    }

    private void startWith(Tenant... tenants) {
        configure(1, new TenantDirectory(List.of(tenants)));
        add("u-0");
        add("u-1");
    }

    @Test
    void upstreamIsToldTheTenantAndNeverTheKey() {
        startWith(tenant("press", RequestCap.UNLIMITED, "key-1"));
        sendWithKey("/retry/1", "key-1", reply());

        assertThat(client().call(0).request().headers().first(FakeCallProtocol.TENANT))
                .hasValue("press");
        assertThat(client().call(0).request().headers().first(FakeCallProtocol.KEY))
                .isEmpty();
        client().call(0).rejectWith(503, "pause", "0");
        assertThat(client().call(1).request().headers().first(FakeCallProtocol.TENANT))
                .hasValue("press");
        assertThat(client().call(1).request().headers().first(FakeCallProtocol.KEY))
                .isEmpty();
        assertThat(caps().charged()).isEmpty();
    }

    @Test
    void unknownAndMissingKeysAreRefusedAtOnce() {
        startWith(tenant("press", CAP, "key-1"));
        sendWithKey("/retry/1", "key-2", reply());
        assertThat(reply().status()).isEqualTo(401);
        FakeReply second = new FakeReply(worker());
        send("/retry/2", second);
        assertThat(second.status()).isEqualTo(401);
        assertThat(second.response().headers().first("Retry-After")).isEmpty();
        assertThat(client().callCount()).isZero();
        assertThat(caps().charged()).isEmpty();
    }

    @Test
    void nodeThatMayLackTheNewestConfigurationSendsUnknownKeysElsewhere() {
        startWith(tenant("press", CAP, "key-1"));
        loseStore();
        sendWithKey("/retry/1", "key-2", reply());
        assertThat(reply().status()).isEqualTo(503);
        assertThat(reply().response().headers().first("Retry-After")).isPresent();
    }

    @Test
    void publicRouteNeedsNoKey() {
        startWith(tenant("press", CAP, "key-1"));
        send("/public/1", reply());
        client().call(0).respond(200);
        assertThat(reply().status()).isEqualTo(200);
    }

    @Test
    void requestIsChargedOnceWithItsRetries() {
        startWith(tenant("press", CAP, "key-1"));
        sendWithKey("/retry/1", "key-1", reply());
        assertThat(client().callCount()).isZero();
        caps().decide(0, CapDecision.Outcome.GRANTED, 0);
        worker().advance(Duration.ZERO);
        client().call(0).rejectWith(503, "pause", "0");
        client().call(1).respond(200);

        assertThat(reply().status()).isEqualTo(200);
        assertThat(caps().charged()).containsExactly("press");
    }

    @Test
    void requestOverTheCapIsRefusedWithTheTimeOfTheRefill() {
        startWith(tenant("press", CAP, "key-1"));
        sendWithKey("/retry/1", "key-1", reply());
        caps().decide(0, CapDecision.Outcome.OVER_CAP, 250);
        worker().advance(Duration.ZERO);

        assertThat(reply().status()).isEqualTo(429);
        assertThat(reply().response().headers().first("Retry-After")).hasValue("0.25");
        assertThat(client().callCount()).isZero();
    }

    @Test
    void requestWhoseCapNobodyDecidesMayReturnElsewhere() {
        startWith(tenant("press", CAP, "key-1"));
        sendWithKey("/retry/1", "key-1", reply());
        caps().decide(0, CapDecision.Outcome.UNDECIDED, 0);
        worker().advance(Duration.ZERO);
        assertThat(reply().status()).isEqualTo(503);
        assertThat(reply().response().headers().first("Retry-After")).hasValue("0.0");
    }

    @Test
    void callerThatLeavesWhileItsCapIsDecidedGetsNoUpstream() {
        startWith(tenant("press", CAP, "key-1"));
        sendWithKey("/retry/1", "key-1", reply());
        reply().disconnect();
        caps().decide(0, CapDecision.Outcome.GRANTED, 0);
        worker().advance(Duration.ZERO);
        assertThat(client().callCount()).isZero();
    }

    @Test
    void keyTakenAwayWhileARequestWaitsRefusesIt() {
        startWith(tenant("press", CAP, "key-1"));
        sendWithKey("/retry/1", "key-1", reply());
        configure(2, new TenantDirectory(List.of(tenant("press", CAP))));
        caps().decide(0, CapDecision.Outcome.GRANTED, 0);
        worker().advance(Duration.ZERO);
        assertThat(reply().status()).isEqualTo(401);
        assertThat(client().callCount()).isZero();
    }

    @Test
    void keyTakenAwayDuringAnAttemptLetsItFinishButNotBeRepeated() {
        startWith(tenant("press", RequestCap.UNLIMITED, "key-1"));
        FakeReply second = new FakeReply(worker());
        sendWithKey("/retry/1", "key-1", reply());
        sendWithKey("/retry/2", "key-1", second);
        configure(2, new TenantDirectory(List.of(tenant("press", CAP))));
        client().call(0).respond(200);
        client().call(1).rejectWith(503, "pause", "0");

        assertThat(reply().status()).isEqualTo(200);
        assertThat(second.status()).isEqualTo(401);
        assertThat(client().callCount()).isEqualTo(2);
    }

    @Test
    void keyMovedToAnotherTenantWhileARequestWaitsSendsItBack() {
        startWith(tenant("press", CAP, "key-1"), tenant("mill", CAP));
        sendWithKey("/retry/1", "key-1", reply());
        configure(2, new TenantDirectory(List.of(tenant("press", CAP), tenant("mill", CAP, "key-1"))));
        caps().decide(0, CapDecision.Outcome.GRANTED, 0);
        worker().advance(Duration.ZERO);
        assertThat(reply().status()).isEqualTo(503);
        assertThat(client().callCount()).isZero();
    }

    @Test
    void newConfigurationThatKeepsTheKeyKeepsTheRequest() {
        startWith(tenant("press", CAP, "key-1"));
        sendWithKey("/retry/1", "key-1", reply());
        configure(2, new TenantDirectory(List.of(tenant("press", CAP, "key-1", "key-2"))));
        caps().decide(0, CapDecision.Outcome.FROM_BATCH, 0);
        worker().advance(Duration.ZERO);
        client().call(0).respond(200);
        assertThat(reply().status()).isEqualTo(200);
    }
}
