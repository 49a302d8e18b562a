package org.turmericspan.forwarding;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.turmericspan.balancing.Route;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.events.Event;
import org.turmericspan.http.HttpService;
import org.turmericspan.http.Reply;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.StableHash;

/** Finds the route of each request and forwards it to an upstream. */
public final class ForwardingService implements HttpService {
    /** Time for which a starting node keeps requests until it knows the configuration and the upstreams. */
    private static final long START_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Pause between looks whether it does. */
    private static final long START_STEP_MILLIS = 20;
    /** Pause advised to a caller while no configuration is known; about the time a node takes to read one. */
    private static final long NOT_READY_RETRY_MILLIS = 300;
    /** Pause advised for a quarantined request. */
    private static final long QUARANTINE_RETRY_MILLIS = 10_000;

    private final ForwardingDependencies dependencies;
    private volatile boolean fleetKnown;

    /**
     * Creates the service.
     *
     * @param dependencies what the path of a request uses
     */
    public ForwardingService(ForwardingDependencies dependencies) {
        this.dependencies = dependencies;
    }

    @Override
    public void handle(RequestMessage request, Reply reply) {
        long arrivedNanos = dependencies.clock().nowNanos();
        if (knowsFleet()) {
            forward(request, reply, arrivedNanos);
        } else {
            AtomicBoolean gone = new AtomicBoolean();
            reply.onCallerGone(() -> gone.set(true));
            awaitConfiguration(request, reply, gone, arrivedNanos);
        }
    }

    private void awaitConfiguration(RequestMessage request, Reply reply, AtomicBoolean gone, long arrivedNanos) {
        if (gone.get()) {
            return;
        }
        boolean hasWaited = dependencies.clock().nowNanos() - arrivedNanos >= START_WAIT_NANOS;
        if (knowsFleet()
                || hasWaited && dependencies.tables().configuration().current().isPresent()) {
            forward(request, reply, arrivedNanos);
        } else if (hasWaited) {
            refuse(request, reply, ResultCode.NOT_READY, NOT_READY_RETRY_MILLIS, 0);
        } else {
            reply.worker()
                    .schedule(
                            () -> awaitConfiguration(request, reply, gone, arrivedNanos),
                            START_STEP_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private boolean knowsFleet() {
        return fleetKnown || learnFleet();
    }

    private boolean learnFleet() {
        fleetKnown = dependencies.tables().configuration().current().isPresent()
                && dependencies.tables().upstreams().hasRecentObservations();
        return fleetKnown;
    }

    private void forward(RequestMessage request, Reply reply, long arrivedNanos) {
        Optional<RoutingConfiguration> configuration =
                dependencies.tables().configuration().current();
        long version = configuration.get().version();
        Optional<Route> route = configuration.get().findRoute(hostOf(request), request.path());
        if (route.isEmpty()) {
            refuse(request, reply, ResultCode.NOT_CONFIGURED, 0, version);
            return;
        }
        long fingerprint = fingerprint(request);
        if (dependencies.tables().suspects().isQuarantined(fingerprint)) {
            refuse(request, reply, ResultCode.QUARANTINED, QUARANTINE_RETRY_MILLIS, version);
            return;
        }
        ServiceId service = dependencies.tables().roundRobin().next(route.get());
        dependencies.tables().retryBudget().recordRequest(service);
        new RequestRun(
                        dependencies,
                        request,
                        reply,
                        new RunTarget(route.get(), service, fingerprint, version),
                        arrivedNanos,
                        arrivedNanos + waitNanos(request, route.get()))
                .start();
    }

    /** Returns how long the caller waits, from the arrival of its request. */
    private long waitNanos(RequestMessage request, Route route) {
        long statedMillis =
                dependencies.protocol().deadlineMillis(request.headers()).orElse(Long.MAX_VALUE);
        return Math.min(route.timeoutNanos(), TimeUnit.MILLISECONDS.toNanos(statedMillis));
    }

    private static String hostOf(RequestMessage request) {
        String host = request.headers().first("Host").orElse("");
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private static long fingerprint(RequestMessage request) {
        return StableHash.of(StableHash.of(request.method() + " " + request.target()), request.body());
    }

    private void refuse(RequestMessage request, Reply reply, ResultCode code, long retryAfterMillis, long version) {
        dependencies
                .log()
                .write(Event.failure("forward", "Request refused.")
                        .with(
                                "request",
                                dependencies
                                        .protocol()
                                        .requestId(request.headers())
                                        .orElse("-"))
                        .with("code", code.number())
                        .with("target", request.target())
                        .with("version", version));
        dependencies.metrics().refused(code);
        reply.send(Refusal.of(code, retryAfterMillis));
    }
}
