package org.turmericspan.forwarding;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.turmericspan.balancing.Route;
import org.turmericspan.balancing.RoutingConfiguration;
import org.turmericspan.balancing.SelectionCriteria;
import org.turmericspan.balancing.WeightedService;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.events.Event;
import org.turmericspan.http.HttpService;
import org.turmericspan.http.Reply;
import org.turmericspan.http.RequestMessage;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.StableHash;
import org.turmericspan.tenancy.Identity;

/** Determines the route of each request and forwards the request to an upstream. */
public final class ForwardingService implements HttpService {
    /** Maximum time for which a starting node delays requests until it has the configuration and upstream states. */
    private static final long START_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Interval between readiness checks for a delayed request. */
    private static final long START_POLL_MILLIS = 20;
    /** Retry-After delay while there is no configuration; about the time a node takes to read one. */
    private static final long NOT_READY_RETRY_AFTER_MILLIS = 300;
    /** Retry-After delay for a quarantined request. */
    private static final long QUARANTINE_RETRY_AFTER_MILLIS = 10_000;

    /** Time without an accepted request after which a stopping node expects no more of them. */
    private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ForwardingDependencies dependencies;
    private final StopAdmission stopAdmission = new StopAdmission();
    private final Set<ActiveRequest> activeRequests = ConcurrentHashMap.newKeySet();
    private volatile long lastAcceptedNanos;
    /** Whether this node once had a configuration and upstream states; not checked again after that. */
    private volatile boolean ready;

    /**
     * Creates the service.
     *
     * @param dependencies dependencies of the request path
     */
    public ForwardingService(ForwardingDependencies dependencies) {
        this.dependencies = dependencies;
        this.lastAcceptedNanos = dependencies.clock().nowNanos();
    }

    /**
     * Refuses from now on each request that may not be answered before the process ends.
     *
     * @param processEndNanos time at which the process ends
     */
    public void stopAt(long processEndNanos) {
        stopAdmission.stopAt(processEndNanos);
    }

    /**
     * Returns whether no request is in progress and none was accepted for some time.
     *
     * @return true if so
     */
    public boolean isQuiet() {
        return activeRequests.isEmpty() && dependencies.clock().nowNanos() - lastAcceptedNanos > QUIET_NANOS;
    }

    /** Responds to all requests in progress, whose outcome is unknown unless they were not passed on. */
    public void endRequests() {
        activeRequests.forEach(ActiveRequest::endBeforeProcess);
    }

    @Override
    public void handle(RequestMessage request, Reply reply) {
        long arrivedNanos = dependencies.clock().nowNanos() - reply.waitedNanos();
        if (isReady()) {
            forward(request, reply, arrivedNanos);
        } else {
            AtomicBoolean disconnected = new AtomicBoolean();
            reply.onCallerGone(() -> disconnected.set(true));
            awaitReady(request, reply, disconnected, arrivedNanos);
        }
    }

    @Override
    public boolean isRepeatable(RequestMessage request) {
        return findRoute(request).filter(Route::idempotent).isPresent();
    }

    @Override
    public boolean hasRoom(RequestMessage request) {
        return findRoute(request).filter(this::admitsNow).isPresent();
    }

    /** Returns whether an upstream of one of the services of the route takes a request now, by what they said. */
    private boolean admitsNow(Route route) {
        for (WeightedService candidate : route.services()) {
            SelectionCriteria criteria = new SelectionCriteria(
                    route.id(), candidate.service(), Set.of(), route.priority(), Double.MAX_VALUE, Double.MAX_VALUE);
            if (dependencies.tables().upstreams().untilAdmissionNanos(criteria) == 0) {
                return true;
            }
        }
        return false;
    }

    private Optional<Route> findRoute(RequestMessage request) {
        return dependencies
                .tables()
                .configuration()
                .current()
                .flatMap(configuration -> configuration.findRoute(hostOf(request), request.path()));
    }

    private void awaitReady(RequestMessage request, Reply reply, AtomicBoolean disconnected, long arrivedNanos) {
        if (disconnected.get()) {
            return;
        }
        boolean startWaitExpired = dependencies.clock().nowNanos() - arrivedNanos >= START_WAIT_NANOS;
        if (isReady()
                || startWaitExpired
                        && dependencies.tables().configuration().current().isPresent()) {
            forward(request, reply, arrivedNanos);
        } else if (startWaitExpired) {
            refuse(request, reply, ResultCode.NOT_READY, notReadyRetryAfterMillis(request), 0);
        } else {
            reply.worker()
                    .schedule(
                            () -> awaitReady(request, reply, disconnected, arrivedNanos),
                            START_POLL_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private long notReadyRetryAfterMillis(RequestMessage request) {
        String requestId = dependencies.protocol().requestId(request.headers()).orElse("-");
        return dependencies.tables().waits().notReadyRetryAfterMillis(requestId, NOT_READY_RETRY_AFTER_MILLIS);
    }

    private boolean isReady() {
        return ready || updateReady();
    }

    private boolean updateReady() {
        ready = dependencies.tables().configuration().current().isPresent()
                && dependencies.tables().upstreams().hasRecentObservations();
        return ready;
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
        Identity identity = dependencies
                .tables()
                .access()
                .keys()
                .identify(
                        configuration.get().tenants(),
                        route.get().isPublic(),
                        dependencies.protocol().credentials(request.headers()));
        if (identity instanceof Identity.Refused refused) {
            refuse(request, reply, refused.code(), NOT_READY_RETRY_AFTER_MILLIS, version);
            return;
        }
        long deadlineNanos = arrivedNanos + effectiveTimeoutNanos(request, route.get());
        if (!stopAdmission.admits(deadlineNanos)) {
            refuse(request, reply, ResultCode.STOPPING, RetryAfterRule.STOPPING_MILLIS, version);
            return;
        }
        long fingerprint = fingerprint(request);
        if (dependencies.tables().suspects().isQuarantined(fingerprint)) {
            refuse(request, reply, ResultCode.QUARANTINED, QUARANTINE_RETRY_AFTER_MILLIS, version);
            return;
        }
        ServiceId service = dependencies.tables().roundRobin().next(route.get());
        dependencies.tables().retryBudget().recordRequest(service);
        ActiveRequest activeRequest = new ActiveRequest(
                dependencies,
                request,
                reply,
                new RoutingDecision(route.get(), service, fingerprint, version, identity),
                arrivedNanos,
                deadlineNanos,
                activeRequests::remove);
        lastAcceptedNanos = dependencies.clock().nowNanos();
        activeRequests.add(activeRequest);
        activeRequest.start();
    }

    /** Returns the timeout of the route or of the caller, whichever is shorter, from the arrival of the request. */
    private long effectiveTimeoutNanos(RequestMessage request, Route route) {
        long callerTimeoutMillis =
                dependencies.protocol().deadlineMillis(request.headers()).orElse(Long.MAX_VALUE);
        return Math.min(route.timeoutNanos(), TimeUnit.MILLISECONDS.toNanos(callerTimeoutMillis));
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
        reply.send(LocalReply.of(code, retryAfterMillis));
    }
}
