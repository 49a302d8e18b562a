package org.turmericspan.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.LoadReport;
import org.turmericspan.balancing.Observation;
import org.turmericspan.balancing.ProbeBudget;
import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.http.CallEnd;
import org.turmericspan.http.CallHandle;
import org.turmericspan.http.CallOptions;
import org.turmericspan.http.HttpClient;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.UpstreamId;

/** Probes the upstreams that this node owns for their health, load and warm-up state. All probes run on one worker. */
public final class UpstreamProber implements LoadProber {
    /** Timeout of a probe; an upstream responds to a probe immediately or not at all. */
    private static final long TIMEOUT_MILLIS = 300;
    /** Maximum idle time of a pooled connection for a probe; a failed probe costs nothing but the connection. */
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);
    /**
     * Consecutive failed probes after which an upstream counts as unreachable although it accepts connections; fewer
     * only close its idle connections. It counts as unreachable at once when it accepts none, or when another upstream
     * responds at its address.
     */
    private static final int UNREACHABLE_AFTER_FAILURES = 2;

    /** Fraction of the probe interval within which an observation of this node makes a periodic probe unnecessary. */
    private static final double RECENT_OBSERVATION_FRACTION = 0.6;
    /** Number of probe intervals after which an upstream is probed although responses have shown its load. */
    private static final int MAX_HEALTH_AGE_INTERVALS = 3;

    /** Factor on the interval between periodic probes in a large fleet. */
    private static final int LARGE_FLEET_INTERVAL_FACTOR = 2;

    private static final int OK = 200;
    private static final String LOG_PART = "probe";

    private final UpstreamTable upstreams;
    private final ConfigurationHolder configuration;
    private final CrashSuspects suspects;
    private final HttpClient client;
    private final CallProtocol protocol;
    private final NoticeRecorder notices;
    private final ProbeBudget budget;
    private final ScheduledExecutorService worker;
    private final MonotonicClock clock;
    private final EventLog log;
    private final Map<UpstreamId, Probe> inFlight = new HashMap<>();
    private final Map<UpstreamId, Integer> consecutiveFailures = new HashMap<>();
    private final Set<UpstreamId> coldUpstreams = new HashSet<>();
    private volatile boolean probeOwnedOnly;
    private volatile int intervalFactor = 1;
    private volatile long probesSent;

    /**
     * Creates a prober. Periodic probing begins with {@link #start}.
     *
     * @param tables shared tables with the health paths, which receive the results of the probes
     * @param client HTTP client; probes verify its pooled connections
     * @param protocol reads and writes headers
     * @param notices records what responses say about further requests
     * @param budget limits the probes on demand
     * @param worker runs the probes
     * @param clock source of monotonic time
     * @param log log of changes in the observed states
     */
    public UpstreamProber(
            ForwardingTables tables,
            HttpClient client,
            CallProtocol protocol,
            NoticeRecorder notices,
            ProbeBudget budget,
            ScheduledExecutorService worker,
            MonotonicClock clock,
            EventLog log) {
        this.upstreams = tables.upstreams();
        this.configuration = tables.configuration();
        this.suspects = tables.suspects();
        this.client = client;
        this.protocol = protocol;
        this.notices = notices;
        this.budget = budget;
        this.worker = worker;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Starts periodic probes. They cover all upstreams of this node's zone until {@link #probeOwnedOnly} is called.
     *
     * @param intervalMillis delay between probes of one upstream
     */
    public void start(long intervalMillis) {
        long intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMillis);
        worker.execute(() -> probeTargets(intervalNanos));
    }

    private void probeTargets(long intervalNanos) {
        worker.schedule(() -> probeTargets(intervalNanos), intervalFactor * intervalNanos, TimeUnit.NANOSECONDS);
        upstreams
                .probeTargets(
                        !probeOwnedOnly,
                        (long) (RECENT_OBSERVATION_FRACTION * intervalFactor * intervalNanos),
                        MAX_HEALTH_AGE_INTERVALS * intervalFactor * intervalNanos)
                .forEach(this::startOrJoin);
    }

    /**
     * Restricts the periodic probes to upstreams that this node owns, from now on.
     *
     * @param isLargeFleet whether the fleet is so large that its requests show the load of most upstreams
     */
    public void probeOwnedOnly(boolean isLargeFleet) {
        probeOwnedOnly = true;
        intervalFactor = isLargeFleet ? LARGE_FLEET_INTERVAL_FACTOR : 1;
    }

    @Override
    public void probe(Registration upstream, Runnable onCompleted) {
        worker.execute(() -> {
            Probe probe = inFlight.get(upstream.id());
            if (probe == null && budget.tryAcquire()) {
                probe = startOrJoin(upstream);
            }
            if (probe == null || probe.completed) {
                onCompleted.run();
            } else {
                probe.listeners.add(onCompleted);
            }
        });
    }

    /**
     * Returns how many probes have been sent so far.
     *
     * @return number of periodic probes and probes on demand since this object was created
     */
    public long probesSent() {
        return probesSent;
    }

    /** Returns the probe in flight, after starting one if necessary, or null when the service has no health path. */
    private Probe startOrJoin(Registration upstream) {
        Optional<String> path = configuration
                .current()
                .flatMap(current -> current.service(upstream.service()))
                .map(service -> service.healthPath());
        if (path.isEmpty() || inFlight.containsKey(upstream.id())) {
            return inFlight.get(upstream.id());
        }
        probesSent++;
        CallOptions options = new CallOptions(
                TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS),
                MAX_IDLE_NANOS,
                true,
                Optional.of(protocol.echoHeader()));
        RequestMessage request =
                RequestMessage.get(path.get(), upstream.address().toString());
        Probe probe = new Probe(upstream);
        inFlight.put(upstream.id(), probe);
        probe.handle =
                client.call(upstream.address(), request, options, end -> worker.execute(() -> probeEnded(probe, end)));
        probe.timeout = worker.schedule(() -> timedOut(probe), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        return probe;
    }

    private void timedOut(Probe probe) {
        if (!probe.completed) {
            probe.handle.cancel();
            probeEnded(probe, new CallEnd.Broken("no response within " + TIMEOUT_MILLIS + " ms"));
        }
    }

    private void probeEnded(Probe probe, CallEnd end) {
        if (probe.completed) {
            return;
        }
        probe.completed = true;
        if (probe.timeout != null) {
            probe.timeout.cancel(false);
        }
        inFlight.remove(probe.upstream.id());
        if (end instanceof CallEnd.Answered answered) {
            responseReceived(probe.upstream, answered.response());
        } else if (end instanceof CallEnd.NotSent notSent) {
            probeFailed(probe.upstream, notSent.reason(), true);
        } else if (end instanceof CallEnd.Broken broken) {
            client.dropIdle(probe.upstream.address());
            probeFailed(probe.upstream, broken.reason(), false);
        }
        probe.listeners.forEach(Runnable::run);
    }

    private void responseReceived(Registration upstream, ResponseMessage response) {
        if (protocol.instanceId(response).filter(upstream.id().value()::equals).isEmpty()) {
            probeFailed(upstream, "another upstream responded at the address", true);
            return;
        }
        if (consecutiveFailures.remove(upstream.id()) != null) {
            log.write(Event.notice(LOG_PART, "Upstream responds again.").with("upstream", upstream.id()));
        }
        notices.record(upstream.id(), response, "probe");
        LoadReport load = notices.load(upstream.id(), response, "probe").orElse(LoadReport.NORMAL);
        long coldRemainingNanos = TimeUnit.MILLISECONDS.toNanos(protocol.warmupRemainingMillis(response));
        recordWarmup(upstream.id(), coldRemainingNanos);
        upstreams.recordReachability(upstream.id(), true);
        upstreams.recordObservation(
                upstream.id(),
                new Observation(
                        clock.nowNanos(),
                        load.running(),
                        load.waiting(),
                        load.slowdownPercent(),
                        coldRemainingNanos,
                        response.status() == OK,
                        true));
    }

    private void recordWarmup(UpstreamId id, long coldRemainingNanos) {
        boolean changed = coldRemainingNanos > 0 ? coldUpstreams.add(id) : coldUpstreams.remove(id);
        if (changed) {
            log.write(Event.notice(LOG_PART, coldRemainingNanos > 0 ? "Upstream is cold." : "Upstream is warm.")
                    .with("upstream", id)
                    .with("coldMs", TimeUnit.NANOSECONDS.toMillis(coldRemainingNanos)));
        }
    }

    private void probeFailed(Registration upstream, String reason, boolean unreachable) {
        int count = consecutiveFailures.merge(upstream.id(), 1, Integer::sum);
        if (unreachable || count >= UNREACHABLE_AFTER_FAILURES) {
            upstreams.recordReachability(upstream.id(), false);
            upstreams.recordObservation(
                    upstream.id(), Observation.unreachable(clock.nowNanos(), warmupNanos(upstream)));
            suspects.recordUpstreamLoss(upstream.id());
        }
        if (count == 1) {
            log.write(Event.notice(LOG_PART, "Upstream does not answer.")
                    .with("upstream", upstream.id())
                    .with("reason", reason)
                    .with("unreachable", unreachable));
        }
    }

    private long warmupNanos(Registration upstream) {
        return configuration
                .current()
                .flatMap(current -> current.service(upstream.service()))
                .map(service -> service.warmupNanos())
                .orElse(0L);
    }

    private static final class Probe {
        private final Registration upstream;
        private final List<Runnable> listeners = new ArrayList<>();
        private CallHandle handle = () -> {};
        private ScheduledFuture<?> timeout;
        private boolean completed;

        Probe(Registration upstream) {
            this.upstream = upstream;
        }
    }
}
