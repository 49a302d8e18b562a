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

/** Asks the upstreams that this node owns for their health, load and warmth. It runs on one worker. */
public final class UpstreamProber implements LoadProber {
    /** Longest wait for an answer; probes are answered at once or not at all. */
    private static final long TIMEOUT_MILLIS = 300;
    /** Longest idle time of a connection that a probe uses; a probe that fails costs nothing but the connection. */
    private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Probes unanswered in a row after which the upstream rests, not only its connections. */
    private static final int SILENT_PROBES = 2;

    private static final int OK = 200;
    private static final String PART = "probe";

    private final UpstreamTable upstreams;
    private final ConfigurationHolder configuration;
    private final CrashSuspects suspects;
    private final HttpClient client;
    private final CallProtocol protocol;
    private final ProbeBudget budget;
    private final ScheduledExecutorService worker;
    private final MonotonicClock clock;
    private final EventLog log;
    private final Map<UpstreamId, Probe> underWay = new HashMap<>();
    private final Map<UpstreamId, Integer> failures = new HashMap<>();
    private final Set<UpstreamId> cold = new HashSet<>();
    private volatile boolean probeOwnedOnly;
    private volatile long probesSent;

    /**
     * Creates a prober that has not begun.
     *
     * @param tables name the health paths, and take what probes show
     * @param client client whose kept connections are proved alive by probes
     * @param protocol header names and forms
     * @param budget allows the probes that requests ask for
     * @param worker runs the probes
     * @param clock monotonic time
     * @param log takes changes of belief
     */
    public UpstreamProber(
            ForwardingTables tables,
            HttpClient client,
            CallProtocol protocol,
            ProbeBudget budget,
            ScheduledExecutorService worker,
            MonotonicClock clock,
            EventLog log) {
        this.upstreams = tables.upstreams();
        this.configuration = tables.configuration();
        this.suspects = tables.suspects();
        this.client = client;
        this.protocol = protocol;
        this.budget = budget;
        this.worker = worker;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Starts probing all upstreams, until this node has joined the others.
     *
     * @param intervalMillis pause between probes of one upstream
     */
    public void start(long intervalMillis) {
        worker.scheduleWithFixedDelay(this::probeOwned, 0, intervalMillis, TimeUnit.MILLISECONDS);
    }

    private void probeOwned() {
        upstreams.probeTargets(!probeOwnedOnly).forEach(this::probe);
    }

    /** Leaves the upstreams of other owners to them from now on. */
    public void probeOwnedOnly() {
        probeOwnedOnly = true;
    }

    @Override
    public void probe(Registration upstream, Runnable ended) {
        worker.execute(() -> {
            Probe probe = underWay.get(upstream.id());
            if (probe == null && budget.tryAcquire()) {
                probe = probe(upstream);
            }
            if (probe == null || probe.done) {
                ended.run();
            } else {
                probe.listeners.add(ended);
            }
        });
    }

    /**
     * Counts the probes sent so far.
     *
     * @return the count
     */
    public long probesSent() {
        return probesSent;
    }

    /** Starts a probe unless one is under way; returns the one that is, or null when the service has no health path. */
    private Probe probe(Registration target) {
        Optional<String> path = configuration
                .current()
                .flatMap(current -> current.service(target.service()))
                .map(service -> service.healthPath());
        if (path.isEmpty() || underWay.containsKey(target.id())) {
            return underWay.get(target.id());
        }
        probesSent++;
        CallOptions options =
                new CallOptions(TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS), MAX_IDLE_NANOS, true, Optional.empty());
        RequestMessage request = RequestMessage.get(path.get(), target.address().toString());
        Probe probe = new Probe(target);
        underWay.put(target.id(), probe);
        probe.handle = client.call(target.address(), request, options, end -> worker.execute(() -> ended(probe, end)));
        probe.limit = worker.schedule(() -> timedOut(probe), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        return probe;
    }

    private void timedOut(Probe probe) {
        if (!probe.done) {
            probe.handle.cancel();
            ended(probe, new CallEnd.Broken("no answer within " + TIMEOUT_MILLIS + " ms"));
        }
    }

    private void ended(Probe probe, CallEnd end) {
        if (probe.done) {
            return;
        }
        probe.done = true;
        if (probe.limit != null) {
            probe.limit.cancel(false);
        }
        underWay.remove(probe.target.id());
        if (end instanceof CallEnd.Answered answered) {
            answered(probe.target, answered.response());
        } else if (end instanceof CallEnd.NotSent notSent) {
            failed(probe.target, notSent.reason(), true);
        } else if (end instanceof CallEnd.Broken broken) {
            client.dropIdle(probe.target.address());
            failed(probe.target, broken.reason(), false);
        }
        probe.listeners.forEach(Runnable::run);
    }

    private void answered(Registration target, ResponseMessage response) {
        if (protocol.instanceId(response).filter(target.id().value()::equals).isEmpty()) {
            failed(target, "another instance answers", true);
            return;
        }
        if (failures.remove(target.id()) != null) {
            log.write(Event.notice(PART, "Upstream answers again.").with("upstream", target.id()));
        }
        LoadReport load = protocol.reportedLoad(response).orElse(LoadReport.NORMAL);
        long coldNanos = TimeUnit.MILLISECONDS.toNanos(protocol.warmupRemainingMillis(response));
        noteWarmth(target.id(), coldNanos);
        upstreams.recordReachability(target.id(), true);
        upstreams.observe(
                target.id(),
                new Observation(
                        clock.nowNanos(),
                        load.running(),
                        load.waiting(),
                        load.slowdownPercent(),
                        coldNanos,
                        response.status() == OK,
                        true));
    }

    private void noteWarmth(UpstreamId id, long coldNanos) {
        boolean changed = coldNanos > 0 ? cold.add(id) : cold.remove(id);
        if (changed) {
            log.write(Event.notice(PART, coldNanos > 0 ? "Upstream is cold." : "Upstream is warm.")
                    .with("upstream", id)
                    .with("coldMs", TimeUnit.NANOSECONDS.toMillis(coldNanos)));
        }
    }

    private void failed(Registration target, String reason, boolean unreachable) {
        int count = failures.merge(target.id(), 1, Integer::sum);
        if (unreachable || count >= SILENT_PROBES) {
            upstreams.recordReachability(target.id(), false);
            upstreams.observe(target.id(), Observation.unreachable(clock.nowNanos(), warmupNanos(target)));
            suspects.recordUpstreamLoss(target.id());
        }
        if (count == 1) {
            log.write(Event.notice(PART, "Upstream does not answer.")
                    .with("upstream", target.id())
                    .with("reason", reason)
                    .with("unreachable", unreachable));
        }
    }

    private long warmupNanos(Registration target) {
        return configuration
                .current()
                .flatMap(current -> current.service(target.service()))
                .map(service -> service.warmupNanos())
                .orElse(0L);
    }

    private static final class Probe {
        private final Registration target;
        private final List<Runnable> listeners = new ArrayList<>();
        private CallHandle handle = () -> {};
        private ScheduledFuture<?> limit;
        private boolean done;

        Probe(Registration target) {
            this.target = target;
        }
    }
}
