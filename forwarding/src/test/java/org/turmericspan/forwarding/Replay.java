package org.turmericspan.forwarding;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.turmericspan.admission.WaitRefusal;
import org.turmericspan.balancing.BalancingRules;
import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.RequestLimits;
import org.turmericspan.balancing.Route;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.balancing.ServiceSpec;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.balancing.WeightedRoundRobin;
import org.turmericspan.balancing.WeightedService;
import org.turmericspan.balancing.WindowedRetryBudget;
import org.turmericspan.caps.CapGate;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.events.EventLog;
import org.turmericspan.http.HeaderList;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.tenancy.KeyCheck;
import org.turmericspan.tenancy.TenantDirectory;
import org.turmericspan.testkit.ManualClock;
import org.turmericspan.testkit.ManualExecutor;
import org.turmericspan.zones.RequestObserver;

/**
 * One node with a waiting room, or with the polling of deployments without one, and the arrivals of a file: a line has
 * the time in milliseconds, the kind of request, the caller, and the time that its work takes.
 */
final class Replay {
    static final ServiceId SERVICE = new ServiceId("desk");
    static final AvailabilityZoneId ZONE = new AvailabilityZoneId("zone-a");
    static final int ROOM = 64;
    private static final Path FOLDER = Path.of("src/test/resources/replays");
    private static final BalancingRules RULES = new BalancingRules(1.5, 5, 0.2, 60, TimeUnit.SECONDS.toNanos(10));

    private final ManualClock clock = new ManualClock();
    private final ManualExecutor executor = new ManualExecutor(clock);
    private final CountingExecutor worker = new CountingExecutor(executor);
    private final ReplayUpstreams upstreams = new ReplayUpstreams(clock, executor);
    private final Map<WaitRefusal.Reason, Integer> refusals = new EnumMap<>(WaitRefusal.Reason.class);
    private final List<ReplayedRequest> requests = new ArrayList<>();
    private final ForwardingService service;
    private final UpstreamTable table;
    private int waiting;

    /** Creates a node whose waiting room has a bound; 0 for a node without one. */
    Replay(int maxWaiters) {
        ConfigurationHolder configuration = new ConfigurationHolder();
        SplittableRandom random = new SplittableRandom(1);
        table = new UpstreamTable(ZONE, registration -> true, RULES, configuration, clock, random);
        upstreams.observeBy(table);
        ForwardingMetrics metrics = new CountedMetrics();
        UpstreamWaits waits;
        if (maxWaiters == 0) {
            waits = new PollingWaits(table);
        } else {
            QueuedWaits queuedWaits = new QueuedWaits(maxWaiters, table, metrics, clock);
            table.outlook().setListener(queuedWaits);
            waits = queuedWaits;
        }
        FakeCallProtocol protocol = new FakeCallProtocol();
        service = new ForwardingService(new ForwardingDependencies(
                new ForwardingTables(
                        configuration,
                        new CallerAccess(new KeyCheck(() -> true), CapGate.OPEN),
                        table,
                        new WeightedRoundRobin(random),
                        new WindowedRetryBudget(RULES, () -> 1, clock),
                        new CrashSuspects(clock),
                        RequestObserver.none(),
                        waits),
                upstreams,
                protocol,
                upstreams,
                new NoticeRecorder(table, protocol, metrics, EventLog.none()),
                metrics,
                clock,
                EventLog.none()));
        configuration.accept(new RoutingConfiguration(
                1,
                List.of(Kind.PAYMENT.route(), Kind.READ.route()),
                Map.of(SERVICE, new ServiceSpec(SERVICE, "/health", 10, 0, 8)),
                RequestLimits.DEFAULT,
                TenantDirectory.NONE));
    }

    /** Kinds of requests, with the times of the deployment on which the replays are modelled. */
    enum Kind {
        /** An urgent request that may run once. */
        PAYMENT("/pay/", 1, 306, 1_200, 2_534, false),
        /** A request of lower priority that takes three times as long. */
        READ("/read/", 2, 1_510, 2_500, 5_014, true);

        private final String path;
        private final int priority;
        private final long targetMillis;
        private final long timeoutMillis;
        private final long callerMillis;
        private final boolean idempotent;

        Kind(String path, int priority, long targetMillis, long timeoutMillis, long callerMillis, boolean idempotent) {
            this.path = path;
            this.priority = priority;
            this.targetMillis = targetMillis;
            this.timeoutMillis = timeoutMillis;
            this.callerMillis = callerMillis;
            this.idempotent = idempotent;
        }

        long targetMillis() {
            return targetMillis;
        }

        long callerMillis() {
            return callerMillis;
        }

        private Route route() {
            return new Route(
                    new RouteId(name().toLowerCase(Locale.ROOT)),
                    "h",
                    path,
                    List.of(new WeightedService(SERVICE, 1)),
                    idempotent,
                    2,
                    TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
                    TimeUnit.MILLISECONDS.toNanos(targetMillis),
                    priority,
                    false);
        }
    }

    ReplayUpstreams upstreams() {
        return upstreams;
    }

    CountingExecutor worker() {
        return worker;
    }

    UpstreamTable table() {
        return table;
    }

    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nowNanos());
    }

    int waiting() {
        return waiting;
    }

    int refusals(Predicate<WaitRefusal.Reason> filter) {
        return refusals.entrySet().stream()
                .filter(entry -> filter.test(entry.getKey()))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    List<ReplayedRequest> requests(Kind kind) {
        return requests.stream().filter(request -> request.kind() == kind).toList();
    }

    void advance(long millis) {
        executor.advance(Duration.ofMillis(millis));
    }

    /** Runs an action at a time of the replay. */
    void at(long millis, Runnable action) {
        executor.schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    /** Plays the arrivals of a file whose kind is accepted, and five seconds more. */
    Replay play(String file, Predicate<String> kinds) {
        long lastMillis = 0;
        for (String line : lines(file)) {
            String[] fields = line.split(" ");
            if (!line.startsWith("#") && kinds.test(fields[1])) {
                long millis = Long.parseLong(fields[0]);
                lastMillis = Math.max(lastMillis, millis);
                Kind kind = fields[1].equals("payment") ? Kind.PAYMENT : Kind.READ;
                at(millis, () -> send(kind, fields[2], Long.parseLong(fields[3])));
            }
        }
        advance(lastMillis + TimeUnit.SECONDS.toMillis(5));
        return this;
    }

    private static List<String> lines(String file) {
        try {
            return Files.readAllLines(FOLDER.resolve(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends a request, which comes back up to twice when it is refused. */
    ReplayedRequest send(Kind kind, String caller, long workMillis) {
        ReplayedRequest request = new ReplayedRequest(this, kind, caller, workMillis);
        requests.add(request);
        request.send();
        return request;
    }

    void handle(ReplayedRequest request, String id, long leftMillis) {
        HeaderList headers = HeaderList.EMPTY
                .with("Host", "h:80")
                .with("id", id)
                .with(ReplayUpstreams.WORK_MILLIS, Long.toString(request.workMillis()))
                .with(FakeCallProtocol.REMAINING_MILLIS, Long.toString(leftMillis));
        service.handle(
                new RequestMessage("POST", request.kind().path + id, headers, new byte[] {1}), request.newReply());
    }

    private final class CountedMetrics implements ForwardingMetrics {
        @Override
        public void answered(ServiceId serviceId, int status, long latencyNanos) {}

        @Override
        public void refused(ResultCode code) {}

        @Override
        public void attempted(AttemptKind kind, long ageNanos) {}

        @Override
        public void noticed(NoticeKind kind) {}

        @Override
        public void waitBegan(ServiceId serviceId) {
            waiting++;
        }

        @Override
        public void waitEnded(ServiceId serviceId, long waitedNanos) {
            waiting--;
        }

        @Override
        public void waitRefused(ServiceId serviceId, WaitRefusal.Reason reason) {
            refusals.merge(reason, 1, Integer::sum);
        }
    }
}
