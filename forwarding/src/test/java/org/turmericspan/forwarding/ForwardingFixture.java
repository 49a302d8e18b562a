package org.turmericspan.forwarding;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
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
import org.turmericspan.tenancy.KeyCheck;
import org.turmericspan.tenancy.TenantDirectory;
import org.turmericspan.testkit.ManualClock;
import org.turmericspan.testkit.ManualExecutor;

/** A service with configured routes, hand-written fakes and a manual clock, for tests of the request path. */
abstract class ForwardingFixture {
    static final ServiceId SERVICE = new ServiceId("desk");
    static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone-a");
    private static final BalancingRules RULES = new BalancingRules(1.5, 5, 0.2, 60, TimeUnit.SECONDS.toNanos(10));

    private final ManualClock clock = new ManualClock();
    private final ManualExecutor worker = new ManualExecutor(clock);
    private final FakeHttpCaller client = new FakeHttpCaller();
    private final FakeLoadProber prober = new FakeLoadProber();
    private final FakeReply reply = new FakeReply(worker);
    private final ConfigurationHolder configuration = new ConfigurationHolder();
    private final SplittableRandom random = new SplittableRandom(1);
    private final UpstreamTable upstreams =
            new UpstreamTable(ZONE, registration -> true, RULES, configuration, clock, random);
    private final FakeCapGate caps = new FakeCapGate();
    private boolean isConfigurationCurrent = true;
    private final FakeRequestObserver observer = new FakeRequestObserver();
    private final FakeCallProtocol protocol = new FakeCallProtocol();
    private final ForwardingService service = new ForwardingService(new ForwardingDependencies(
            new ForwardingTables(
                    configuration,
                    new CallerAccess(new KeyCheck(() -> isConfigurationCurrent), caps),
                    upstreams,
                    new WeightedRoundRobin(random),
                    new WindowedRetryBudget(RULES, () -> 1, clock),
                    new CrashSuspects(clock),
                    observer,
                    new PollingWaits(upstreams)),
            client,
            protocol,
            prober,
            new NoticeRecorder(upstreams, protocol, new NoMetrics(), EventLog.none()),
            new NoMetrics(),
            clock,
            EventLog.none()));

    final ManualClock clock() {
        return clock;
    }

    final FakeCapGate caps() {
        return caps;
    }

    /** Makes the node one that may lack the newest configuration. */
    final void loseStore() {
        isConfigurationCurrent = false;
    }

    final ManualExecutor worker() {
        return worker;
    }

    final FakeHttpCaller client() {
        return client;
    }

    final FakeLoadProber prober() {
        return prober;
    }

    final FakeReply reply() {
        return reply;
    }

    final FakeRequestObserver observer() {
        return observer;
    }

    final UpstreamTable upstreams() {
        return upstreams;
    }

    final ForwardingService service() {
        return service;
    }

    private static final class NoMetrics implements ForwardingMetrics {
        @Override
        public void answered(ServiceId service, int status, long latencyNanos) {}

        @Override
        public void refused(ResultCode code) {}

        @Override
        public void attempted(AttemptKind kind, long ageNanos) {}

        @Override
        public void noticed(NoticeKind kind) {}
    }

    /** Configures the route /retry/ for idempotent requests and the route /once/ for all others. */
    final void configure() {
        configure(1, TenantDirectory.NONE);
    }

    /** Configures the same routes and /public/, which needs no key, with tenants. */
    final void configure(long version, TenantDirectory tenants) {
        configuration.accept(new RoutingConfiguration(
                version,
                List.of(route("/retry/", true, false), route("/once/", false, false), route("/public/", true, true)),
                Map.of(SERVICE, new ServiceSpec(SERVICE, "/health", 10, 0, 8)),
                RequestLimits.DEFAULT,
                tenants));
    }

    private static Route route(String prefix, boolean idempotent, boolean isPublic) {
        return new Route(
                new RouteId("r" + prefix),
                "h",
                prefix,
                List.of(new WeightedService(SERVICE, 1)),
                idempotent,
                2,
                TimeUnit.SECONDS.toNanos(1),
                TimeUnit.MILLISECONDS.toNanos(300),
                0,
                isPublic);
    }

    final void start(int upstreamCount, String path) {
        configure();
        for (int i = 0; i < upstreamCount; i++) {
            add("u-" + i);
        }
        send(path);
    }

    final void add(String id) {
        upstreams.register(new Registration(
                new UpstreamId(id), SERVICE, new SocketAddress("10.0.0.1", 80), ZONE, 3, false, 1, Long.MIN_VALUE / 2));
        upstreams.recordObservation(new UpstreamId(id), new Observation(clock.nowNanos(), 0, 0, 100, 0, true, true));
    }

    final void send(String path) {
        send(path, reply);
    }

    /** Sends a request whose caller allows 800 ms. */
    final void send(String path, FakeReply callerReply) {
        send(path, "800", callerReply);
    }

    final void send(String path, String remainingMillis, FakeReply callerReply) {
        send(path, headers(remainingMillis), callerReply);
    }

    /** Sends a request that presents a key. */
    final void sendWithKey(String path, String key, FakeReply callerReply) {
        send(path, headers("800").with(FakeCallProtocol.KEY, "Token " + key), callerReply);
    }

    private static HeaderList headers(String remainingMillis) {
        return HeaderList.EMPTY
                .with("Host", "h:80")
                .with("id", "r-1")
                .with(FakeCallProtocol.REMAINING_MILLIS, remainingMillis);
    }

    private void send(String path, HeaderList headers, FakeReply callerReply) {
        service.handle(new RequestMessage("POST", path, headers, new byte[] {1}), callerReply);
    }
}
