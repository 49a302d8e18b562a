package org.turmericspan.forwarding;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.turmericspan.balancing.LoadReport;
import org.turmericspan.balancing.Observation;
import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.http.CallEnd;
import org.turmericspan.http.CallHandle;
import org.turmericspan.http.CallOptions;
import org.turmericspan.http.HttpCaller;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.http.ResponseMessage;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.testkit.ManualClock;
import org.turmericspan.testkit.ManualExecutor;

/** Upstreams with slots and a short queue, whose speed and reachability a test changes while arrivals are replayed. */
final class ReplayUpstreams implements HttpCaller, LoadProber {
    static final String WORK_MILLIS = "work";
    private static final int QUEUE = 8;
    private static final int NORMAL_PERCENT = 100;
    private static final long PROBE_MILLIS = 1;
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(250);

    private final Map<UpstreamId, Upstream> upstreams =
            new TreeMap<>((one, other) -> one.value().compareTo(other.value()));
    private final ManualClock clock;
    private final ManualExecutor executor;
    private UpstreamTable table;
    private int mostOverSlots;
    private int probes;

    ReplayUpstreams(ManualClock clock, ManualExecutor executor) {
        this.clock = clock;
        this.executor = executor;
    }

    void observeBy(UpstreamTable upstreamTable) {
        table = upstreamTable;
        executor.scheduleWithFixedDelay(
                () -> upstreams.values().forEach(this::observe),
                PROBE_INTERVAL.toMillis(),
                PROBE_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    void add(String id, ServiceId service, AvailabilityZoneId zone, int slots) {
        UpstreamId upstreamId = new UpstreamId(id);
        upstreams.put(upstreamId, new Upstream(upstreamId, slots));
        table.register(new Registration(
                upstreamId, service, new SocketAddress("10.0.0.1", 80), zone, slots, false, 1, Long.MIN_VALUE / 2));
        observe(upstreams.get(upstreamId));
    }

    void setSlowPercent(String id, int percent) {
        upstreams.get(new UpstreamId(id)).slowPercent = percent;
    }

    /** Sets whether all upstreams can be reached; what runs when they cannot is lost. */
    void setAllReachable(boolean isReachable) {
        for (Upstream upstream : upstreams.values()) {
            upstream.reachable = isReachable;
            if (!isReachable) {
                upstream.breakAll();
            }
        }
    }

    void remove(String id) {
        upstreams.remove(new UpstreamId(id)).breakAll();
        table.remove(new UpstreamId(id));
    }

    /** Returns the largest number of requests that an upstream held beyond its slots. */
    int mostOverSlots() {
        return mostOverSlots;
    }

    /** Returns the number of probes on demand. */
    int probes() {
        return probes;
    }

    private void observe(Upstream upstream) {
        table.recordObservation(
                upstream.id,
                new Observation(
                        clock.nowNanos(),
                        upstream.running.size(),
                        upstream.waiting.size(),
                        upstream.slowPercent,
                        0,
                        true,
                        upstream.reachable));
    }

    @Override
    public void probe(Registration registration, Runnable onCompleted) {
        probes++;
        executor.schedule(
                () -> {
                    Upstream upstream = upstreams.get(registration.id());
                    if (upstream != null) {
                        observe(upstream);
                    }
                    onCompleted.run();
                },
                PROBE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public CallHandle call(
            SocketAddress address, RequestMessage request, CallOptions options, Consumer<CallEnd> listener) {
        Upstream upstream = upstreams.get(new UpstreamId(
                request.headers().first(FakeCallProtocol.EXPECTED).orElseThrow()));
        Call call = new Call(Long.parseLong(request.headers().first(WORK_MILLIS).orElseThrow()), listener);
        if (upstream == null || !upstream.reachable) {
            executor.schedule(() -> call.end(new CallEnd.NotSent("refused")), 1, TimeUnit.MILLISECONDS);
        } else {
            executor.schedule(() -> upstream.accept(call), 1, TimeUnit.MILLISECONDS);
        }
        return () -> call.isEnded = true;
    }

    private static final class Call {
        private final long workMillis;
        private final Consumer<CallEnd> listener;
        private boolean isEnded;

        Call(long workMillis, Consumer<CallEnd> listener) {
            this.workMillis = workMillis;
            this.listener = listener;
        }

        void end(CallEnd end) {
            if (!isEnded) {
                isEnded = true;
                listener.accept(end);
            }
        }
    }

    private final class Upstream {
        private final UpstreamId id;
        private final int slots;
        private final List<Call> running = new ArrayList<>();
        private final Deque<Call> waiting = new ArrayDeque<>();
        private int slowPercent = NORMAL_PERCENT;
        private boolean reachable = true;

        Upstream(UpstreamId id, int slots) {
            this.id = id;
            this.slots = slots;
        }

        void accept(Call call) {
            if (!reachable) {
                call.end(new CallEnd.Broken("reset"));
            } else if (running.size() < slots) {
                run(call);
            } else if (waiting.size() < QUEUE) {
                waiting.add(call);
                mostOverSlots = Math.max(mostOverSlots, waiting.size());
            } else {
                call.end(new CallEnd.Broken("reset"));
            }
        }

        private void run(Call call) {
            running.add(call);
            executor.schedule(
                    () -> finish(call), call.workMillis * slowPercent / NORMAL_PERCENT, TimeUnit.MILLISECONDS);
        }

        private void finish(Call call) {
            if (!running.remove(call)) {
                return;
            }
            while (!waiting.isEmpty() && running.size() < slots) {
                Call next = waiting.poll();
                if (!next.isEnded) {
                    run(next);
                }
            }
            table.recordLoad(id, new LoadReport(running.size(), waiting.size(), slowPercent));
            ResponseMessage plain = ResponseMessage.text(200, "text/plain", "answer");
            call.end(new CallEnd.Answered(
                    new ResponseMessage(200, plain.headers().with("signed", "1"), plain.body())));
        }

        void breakAll() {
            List<Call> lost = new ArrayList<>(running);
            lost.addAll(waiting);
            running.clear();
            waiting.clear();
            lost.forEach(call -> call.end(new CallEnd.Broken("reset")));
        }
    }
}
