package org.turmericspan.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.LoadFigures;
import org.turmericspan.balancing.Observation;
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
public final class UpstreamProber {
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
    private final ScheduledExecutorService worker;
    private final MonotonicClock clock;
    private final EventLog log;
    private final Set<UpstreamId> underWay = new HashSet<>();
    private final Map<UpstreamId, Integer> failures = new HashMap<>();
    private final Set<UpstreamId> cold = new HashSet<>();
    private volatile boolean joined;
    private volatile long sent;

    /**
     * Creates a prober that has not begun.
     *
     * @param upstreams takes what probes show
     * @param configuration names the health paths
     * @param suspects told of upstreams that are down
     * @param client client whose kept connections are proved alive by probes
     * @param protocol header names and forms
     * @param worker runs the probes
     * @param clock monotonic time
     * @param log takes changes of belief
     */
    public UpstreamProber(
            UpstreamTable upstreams,
            ConfigurationHolder configuration,
            CrashSuspects suspects,
            HttpClient client,
            CallProtocol protocol,
            ScheduledExecutorService worker,
            MonotonicClock clock,
            EventLog log) {
        this.upstreams = upstreams;
        this.configuration = configuration;
        this.suspects = suspects;
        this.client = client;
        this.protocol = protocol;
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
        upstreams.probeTargets(!joined).forEach(this::probe);
    }

    /** Leaves the upstreams of other owners to them from now on. */
    public void joined() {
        joined = true;
    }

    /**
     * Looks at one upstream soon.
     *
     * @param registration the upstream
     */
    public void recheck(Registration registration) {
        worker.execute(() -> probe(registration));
    }

    /**
     * Counts the probes sent so far.
     *
     * @return the count
     */
    public long sent() {
        return sent;
    }

    private void probe(Registration target) {
        Optional<String> path = configuration
                .current()
                .flatMap(current -> current.service(target.service()))
                .map(service -> service.healthPath());
        if (path.isEmpty() || !underWay.add(target.id())) {
            return;
        }
        sent++;
        CallOptions options =
                new CallOptions(TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS), MAX_IDLE_NANOS, true, Optional.empty());
        RequestMessage request = RequestMessage.get(path.get(), target.address().toString());
        Probe probe = new Probe(target);
        probe.handle = client.call(target.address(), request, options, end -> worker.execute(() -> ended(probe, end)));
        worker.schedule(() -> timedOut(probe), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
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
        underWay.remove(probe.target.id());
        if (end instanceof CallEnd.Answered answered) {
            answered(probe.target, answered.response());
        } else if (end instanceof CallEnd.NotSent notSent) {
            failed(probe.target, notSent.reason(), notSent.unreachable());
        } else if (end instanceof CallEnd.Broken broken) {
            client.dropIdle(probe.target.address());
            failed(probe.target, broken.reason(), false);
        }
    }

    private void answered(Registration target, ResponseMessage response) {
        if (protocol.instance(response).filter(target.id().value()::equals).isEmpty()) {
            failed(target, "another instance answers", true);
            return;
        }
        if (failures.remove(target.id()) != null) {
            log.write(Event.notice(PART, "Upstream answers again.").with("upstream", target.id()));
        }
        LoadFigures load = protocol.load(response).orElse(LoadFigures.USUAL);
        long coldNanos = TimeUnit.MILLISECONDS.toNanos(protocol.coldMillis(response));
        noteWarmth(target.id(), coldNanos);
        upstreams.noteReachable(target.id(), true);
        upstreams.observe(
                target.id(),
                new Observation(
                        clock.nowNanos(),
                        load.running(),
                        load.waiting(),
                        load.slowPercent(),
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
            upstreams.noteReachable(target.id(), false);
            upstreams.observe(target.id(), Observation.unreachable(clock.nowNanos(), warmupNanos(target)));
            suspects.upstreamLost(target.id());
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
        private CallHandle handle = () -> {};
        private boolean done;

        Probe(Registration target) {
            this.target = target;
        }
    }
}
