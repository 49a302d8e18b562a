package org.turmericspan.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.turmericspan.balancing.BalancingRules;
import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.Observation;
import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.RequestLimits;
import org.turmericspan.balancing.Route;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.balancing.ServiceSpec;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.balancing.WeightedRoundRobin;
import org.turmericspan.balancing.WeightedService;
import org.turmericspan.balancing.WindowedRetryBudget;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.events.EventLog;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;
import org.turmericspan.testkit.ManualExecutor;

class ForwardingServiceTest {
    private static final ServiceId SERVICE = new ServiceId("desk");
    private static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone-a");
    private static final BalancingRules RULES = new BalancingRules(1.5, 5, 0.2, 60, TimeUnit.SECONDS.toNanos(10));

    private final ManualClock clock = new ManualClock();
    private final ManualExecutor worker = new ManualExecutor(clock);
    private final FakeCaller caller = new FakeCaller();
    private final FakeLookup lookup = new FakeLookup();
    private final FakeReply reply = new FakeReply(worker);
    private final ConfigurationHolder configuration = new ConfigurationHolder();
    private final SplittableRandom random = new SplittableRandom(1);
    private final UpstreamTable upstreams =
            new UpstreamTable(ZONE, registration -> true, RULES, configuration, clock, random);
    private final ForwardingService service = new ForwardingService(new ForwardingDependencies(
            new ForwardingTables(
                    configuration,
                    upstreams,
                    new WeightedRoundRobin(random),
                    new WindowedRetryBudget(RULES, () -> 1, clock),
                    new CrashSuspects(clock)),
            caller,
            new FakeProtocol(),
            lookup,
            new NoOutcomes(),
            clock,
            EventLog.none()));

    private static final class NoOutcomes implements ForwardingMetrics {
        @Override
        public void answered(ServiceId service, int status, long latencyNanos) {}

        @Override
        public void refused(ResultCode code) {}

        @Override
        public void attempted(AttemptKind kind, long ageNanos) {}
    }

    private void configure() {
        List<WeightedService> backends = List.of(new WeightedService(SERVICE, 1));
        long timeout = TimeUnit.SECONDS.toNanos(1);
        long target = TimeUnit.MILLISECONDS.toNanos(300);
        configuration.accept(new RoutingConfiguration(
                1,
                List.of(
                        new Route(new RouteId("s"), "h", "/safe/", backends, true, 2, timeout, target, 0),
                        new Route(new RouteId("o"), "h", "/once/", backends, false, 2, timeout, target, 0)),
                Map.of(SERVICE, new ServiceSpec(SERVICE, "/health", 10, 0, 8)),
                RequestLimits.DEFAULT));
    }

    private void start(int upstreamCount, String path) {
        configure();
        for (int i = 0; i < upstreamCount; i++) {
            add("u-" + i);
        }
        send(path);
    }

    private void add(String id) {
        upstreams.register(new Registration(
                new UpstreamId(id), SERVICE, new SocketAddress("10.0.0.1", 80), ZONE, 3, false, 1, Long.MIN_VALUE / 2));
        upstreams.observe(new UpstreamId(id), new Observation(clock.nowNanos(), 0, 0, 100, 0, true, true));
    }

    private void send(String path) {
        send(path, reply);
    }

    private void send(String path, FakeReply to) {
        send(path, "800", to);
    }

    private void send(String path, String leftMillis, FakeReply to) {
        HeaderList headers =
                HeaderList.EMPTY.with("Host", "h:80").with("id", "r-1").with(FakeProtocol.LEFT, leftMillis);
        service.handle(new RequestMessage("POST", path, headers, new byte[] {1}), to);
    }

    @Test
    void answerIsPassedOnWhole() {
        start(1, "/once/1");
        caller.call(0).answer(200);
        assertThat(reply.status()).isEqualTo(200);
        assertThat(reply.response().body()).asString().isEqualTo("answer 200");
    }

    @Test
    void upstreamGetsTheTimeThatIsLeft() {
        start(1, "/once/1");
        assertThat(caller.call(0).request().headers().first(FakeProtocol.LEFT)).hasValue("800");
    }

    @Test
    void unknownRouteIsNotFound() {
        start(1, "/other/1");
        assertThat(reply.status()).isEqualTo(404);
    }

    @Test
    void withoutConfigurationNothingIsDenied() {
        send("/once/1");
        worker.advance(Duration.ofSeconds(1));
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.response().headers().first("Retry-After")).isPresent();
    }

    @Test
    void requestThatArrivesBeforeTheConfigurationWaitsForIt() {
        send("/once/1");
        start(1, "/none");
        worker.advance(Duration.ofMillis(100));
        assertThat(caller.count()).isEqualTo(1);
    }

    @Test
    void nonIdempotentRequestIsNotRepeatedAfterABrokenConnection() {
        start(2, "/once/1");
        caller.call(0).breakOff();
        assertThat(caller.count()).isEqualTo(1);
        assertThat(reply.status()).isEqualTo(502);
    }

    @Test
    void nonIdempotentRequestIsRepeatedAfterProof() {
        start(2, "/once/1");
        caller.call(0).refuse(503);
        assertThat(caller.count()).isEqualTo(2);
        assertThat(caller.call(1).upstream()).isNotEqualTo(caller.call(0).upstream());
        caller.call(1).answer(200);
        assertThat(reply.status()).isEqualTo(200);
    }

    @Test
    void nonIdempotentFailureOfTheUpstreamIsItsAnswer() {
        start(2, "/once/1");
        caller.call(0).answer(500);
        assertThat(caller.count()).isEqualTo(1);
        assertThat(reply.status()).isEqualTo(500);
    }

    @Test
    void successWithoutASignatureIsNeverPassedOn() {
        start(2, "/once/1");
        caller.call(0).answerUnsigned(200);
        assertThat(caller.count()).isEqualTo(1);
        assertThat(reply.status()).isEqualTo(502);
    }

    @Test
    void idempotentRequestIsRepeatedAfterASuccessWithoutASignature() {
        start(2, "/safe/1");
        caller.call(0).answerUnsigned(200);
        caller.call(1).answer(200);
        assertThat(reply.status()).isEqualTo(200);
    }

    @Test
    void nonIdempotentRequestIsNeverHedged() {
        start(2, "/once/1");
        worker.advance(Duration.ofMillis(700));
        assertThat(caller.count()).isEqualTo(1);
    }

    @Test
    void nonIdempotentRequestThatTimesOutHasAnUnknownOutcome() {
        start(2, "/once/1");
        worker.advance(Duration.ofMillis(950));
        assertThat(reply.status()).isEqualTo(504);
        assertThat(caller.call(0).isCancelled()).isFalse();
    }

    @Test
    void idempotentRequestIsRepeatedAfterABrokenConnection() {
        start(2, "/safe/1");
        caller.call(0).breakOff();
        caller.call(1).answer(200);
        assertThat(reply.status()).isEqualTo(200);
    }

    @Test
    void attemptsStayWithinTheRoutesMaximum() {
        start(4, "/safe/1");
        caller.call(0).breakOff();
        caller.call(1).breakOff();
        assertThat(caller.count()).isEqualTo(2);
        assertThat(reply.status()).isEqualTo(502);
    }

    @Test
    void refusedConnectionCountsAsNoAttempt() {
        start(4, "/once/1");
        caller.call(0).failToConnect();
        caller.call(1).failToConnect();
        caller.call(2).answer(200);
        assertThat(reply.status()).isEqualTo(200);
    }

    @Test
    void refusalByAllIsToldAsNotRun() {
        start(2, "/once/1");
        caller.call(0).refuse(503);
        caller.call(1).refuse(503);
        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.response().headers().first("Retry-After")).isPresent();
    }

    @Test
    void lateIdempotentRequestIsHedgedAndTheLoserCancelled() {
        start(2, "/safe/1");
        worker.advance(Duration.ofMillis(400));
        assertThat(caller.count()).isEqualTo(2);
        caller.call(1).answer(200);
        assertThat(reply.status()).isEqualTo(200);
        assertThat(caller.call(0).isCancelled()).isTrue();
    }

    @Test
    void upstreamThatTurnsSlowIsHedgedEarly() {
        start(2, "/safe/1");
        worker.advance(Duration.ofMillis(10));
        upstreams.observe(
                new UpstreamId(caller.call(0).upstream()), new Observation(clock.nowNanos(), 1, 0, 400, 0, true, true));
        worker.advance(Duration.ofMillis(100));
        assertThat(caller.count()).isEqualTo(2);
    }

    @Test
    void callerThatLeavesEndsAnIdempotentAttemptAtOnce() {
        start(2, "/safe/1");
        reply.leave();
        assertThat(caller.call(0).isCancelled()).isTrue();
        worker.advance(Duration.ofSeconds(2));
        assertThat(caller.count()).isEqualTo(1);
        assertThat(reply.isAnswered()).isFalse();
    }

    @Test
    void noUpstreamIsToldSoonAsNotRun() {
        start(0, "/once/1");
        worker.advance(Duration.ofMillis(60));
        assertThat(reply.status()).isEqualTo(503);
    }

    private void observe(String id, int slowPercent) {
        upstreams.observe(new UpstreamId(id), new Observation(clock.nowNanos(), 0, 0, slowPercent, 0, true, true));
    }

    /** Makes what is known of all upstreams old, and leaves questions to them open. */
    private void ageKnowledge() {
        worker.advance(Duration.ofMillis(200));
        lookup.hold();
    }

    @Test
    void upstreamsAreAskedForTheirLoadBeforeTheChoice() {
        configure();
        add("u-0");
        add("u-1");
        ageKnowledge();
        send("/once/1");
        assertThat(caller.count()).isZero();
        observe("u-0", 400);
        lookup.end(new UpstreamId("u-0"));
        observe("u-1", 100);
        lookup.end(new UpstreamId("u-1"));
        assertThat(caller.call(0).upstream()).isEqualTo("u-1");
    }

    @Test
    void firstGoodAnswerEndsTheWait() {
        configure();
        add("u-0");
        add("u-1");
        ageKnowledge();
        send("/once/1");
        observe("u-1", 100);
        lookup.end(new UpstreamId("u-1"));
        assertThat(caller.call(0).upstream()).isEqualTo("u-1");
        lookup.end(new UpstreamId("u-0"));
        assertThat(caller.count()).isEqualTo(1);
    }

    @Test
    void silentUpstreamsDoNotHoldARequestUp() {
        configure();
        add("u-0");
        ageKnowledge();
        send("/once/1");
        worker.advance(Duration.ofMillis(20));
        assertThat(caller.count()).isEqualTo(1);
    }

    @Test
    void callerThatLeavesWhileUpstreamsAreAskedCausesNoAttempt() {
        configure();
        add("u-0");
        ageKnowledge();
        send("/once/1");
        reply.leave();
        lookup.end(new UpstreamId("u-0"));
        worker.advance(Duration.ofMillis(20));
        assertThat(caller.count()).isZero();
    }

    @Test
    void requestWaitsAMomentForAnUpstreamThatIsInTime() {
        configure();
        add("u-0");
        worker.advance(Duration.ofMillis(1));
        observe("u-0", 900);
        send("/once/1");
        assertThat(caller.count()).isZero();
        worker.advance(Duration.ofMillis(1));
        observe("u-0", 100);
        worker.advance(Duration.ofMillis(10));
        assertThat(caller.count()).isEqualTo(1);
    }

    @Test
    void slowUpstreamIsUsedWhenNoOtherHasComeFree() {
        configure();
        add("u-0");
        worker.advance(Duration.ofMillis(1));
        observe("u-0", 900);
        send("/once/1");
        worker.advance(Duration.ofMillis(50));
        assertThat(caller.count()).isEqualTo(1);
    }

    @Test
    void timeSpentWaitingForTheConfigurationIsTakenFromTheDeadline() {
        send("/once/1");
        worker.advance(Duration.ofMillis(100));
        configure();
        add("u-0");
        worker.advance(Duration.ofMillis(100));
        assertThat(caller.call(0).request().headers().first(FakeProtocol.LEFT))
                .hasValueSatisfying(left -> assertThat(Long.parseLong(left)).isLessThanOrEqualTo(700));
    }

    /** Sends another request, with an upstream beside the first that is up but slower, and returns who gets it. */
    private String nextChoice(String path, int otherSlowPercent) {
        add("u-1");
        clock.advance(Duration.ofMillis(1));
        observe("u-0", 100);
        observe("u-1", otherSlowPercent);
        int before = caller.count();
        send(path);
        worker.advance(Duration.ofMillis(60));
        return caller.call(before).upstream();
    }

    @Test
    void upstreamWhoseAnswerWasOverdueWhenItsCallerLeftIsAvoided() {
        start(1, "/safe/1");
        worker.advance(Duration.ofMillis(700));
        reply.leave();
        assertThat(nextChoice("/safe/2", 150)).isEqualTo("u-1");
    }

    @Test
    void callerThatLeavesEarlySaysNothingOfTheUpstream() {
        start(1, "/safe/1");
        worker.advance(Duration.ofMillis(500));
        reply.leave();
        assertThat(nextChoice("/safe/2", 150)).isEqualTo("u-0");
    }

    @Test
    void upstreamThatAnotherOneBeatsByFarIsAvoided() {
        start(2, "/safe/1");
        String beaten = caller.call(0).upstream();
        worker.advance(Duration.ofMillis(400));
        caller.call(1).answer(200);
        assertThat(reply.status()).isEqualTo(200);
        clock.advance(Duration.ofMillis(1));
        observe("u-0", beaten.equals("u-0") ? 100 : 150);
        observe("u-1", beaten.equals("u-1") ? 100 : 150);
        send("/safe/2");
        assertThat(caller.call(2).upstream()).isNotEqualTo(beaten);
    }

    @Test
    void upstreamThatOwesANonIdempotentAnswerIsAvoidedBeforeTheDeadline() {
        start(1, "/once/1");
        worker.advance(Duration.ofMillis(650));
        assertThat(reply.isAnswered()).isFalse();
        assertThat(nextChoice("/once/2", 300)).isEqualTo("u-1");
    }

    @Test
    void lateAnswerOfAnOverdueAttemptIsDelivered() {
        start(1, "/once/1");
        worker.advance(Duration.ofMillis(700));
        caller.call(0).answer(200);
        assertThat(reply.status()).isEqualTo(200);
    }

    @Test
    void answerOfASlowUpstreamIsOverdueLater() {
        configure();
        add("u-0");
        worker.advance(Duration.ofMillis(1));
        observe("u-0", 200);
        send("/once/1");
        worker.advance(Duration.ofMillis(700));
        assertThat(nextChoice("/once/2", 300)).isEqualTo("u-0");
    }

    /** Lets the table learn that a request of the route takes 100 ms. */
    private void learnLatency(String path) {
        start(1, path);
        worker.advance(Duration.ofMillis(100));
        caller.call(0).answer(200);
    }

    @Test
    void requestThatNoUpstreamCanEndBeforeItsDeadlineIsRefusedAsNotRun() {
        learnLatency("/once/1");
        observe("u-0", 1_200);
        FakeReply second = new FakeReply(worker);
        send("/once/2", second);
        worker.advance(Duration.ofMillis(60));
        assertThat(caller.count()).isEqualTo(1);
        assertThat(second.status()).isEqualTo(503);
        assertThat(second.response().headers().first("Retry-After")).isPresent();
    }

    @Test
    void requestThatASlowUpstreamEndsBeforeItsDeadlineIsSent() {
        learnLatency("/once/1");
        observe("u-0", 600);
        send("/once/2", new FakeReply(worker));
        worker.advance(Duration.ofMillis(60));
        assertThat(caller.count()).isEqualTo(2);
    }

    @Test
    void upstreamAtItsUsualSpeedIsTriedThoughTheRouteWasSlowerThanTheDeadline() {
        start(1, "/safe/1");
        worker.advance(Duration.ofMillis(790));
        caller.call(0).answer(200);
        observe("u-0", 100);
        worker.advance(Duration.ofMillis(100));
        observe("u-0", 110);
        send("/safe/2", "400", new FakeReply(worker));
        worker.advance(Duration.ofMillis(60));
        assertThat(caller.count()).isEqualTo(2);
    }
}
