package org.turmericspan.forwarding;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import org.turmericspan.admission.ReturnSchedule;
import org.turmericspan.balancing.RoomListener;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.ServiceId;

/**
 * Requests wait in one bounded waiting room a service, which changes of its upstreams wake; a request that cannot be
 * served in time is refused as soon as that is known.
 */
public final class QueuedWaits implements UpstreamWaits, RoomListener {
    /** Divisor of the usual delay of a node without configuration that yields the earliest return. */
    private static final int NOT_READY_SPREAD_DIVISOR = 2;

    private final ConcurrentMap<ServiceId, ServiceRoom> rooms = new ConcurrentHashMap<>();
    private final int maxRequests;
    private final UpstreamTable upstreams;
    private final ForwardingMetrics metrics;
    private final MonotonicClock clock;

    /**
     * Creates the policy. It is to be set as the room listener of the table of upstreams.
     *
     * @param maxRequests largest number of requests that wait for one service
     * @param upstreams states of the upstreams
     * @param metrics counts waiting and refused requests
     * @param clock monotonic time
     */
    public QueuedWaits(int maxRequests, UpstreamTable upstreams, ForwardingMetrics metrics, MonotonicClock clock) {
        this.maxRequests = maxRequests;
        this.upstreams = upstreams;
        this.metrics = metrics;
        this.clock = clock;
    }

    @Override
    public void roomMayHaveAppeared(ServiceId service) {
        ServiceRoom room = rooms.get(service);
        if (room != null) {
            room.wake();
        }
    }

    /** Asks for load reports only if the request is next in line, since it can only wait or be refused otherwise. */
    @Override
    public void find(UpstreamSearch search) {
        ServiceRoom room = room(search);
        room.recordCaller(search.context());
        if (room.isNextInLine(search)) {
            search.refreshCandidates(() -> room.enter(search));
        } else {
            room.enter(search);
        }
    }

    @Override
    public void end(UpstreamSearch search) {
        room(search).leave(search);
    }

    @Override
    public void attemptStarted(UpstreamSearch search) {
        room(search).attemptStarted(search.context().routingDecision().priority());
    }

    @Override
    public void attemptEnded(UpstreamSearch search) {
        room(search).attemptEnded(search.context().routingDecision().priority());
    }

    @Override
    public long retryAfterMillis(ResultCode code, UpstreamSearch search) {
        long usualMillis = RetryAfterRule.delayMillis(
                code, search.route(), 0, search.context().requestId());
        return switch (code) {
            case NO_CAPACITY, QUEUE_FULL, SHED_BY_UPSTREAM, DEADLINE_BEFORE_SEND ->
                room(search).returnMillis(search, TimeUnit.MILLISECONDS.toNanos(usualMillis));
            default -> usualMillis;
        };
    }

    /** Spreads the callers, since all of them return after a loss of all nodes. */
    @Override
    public long notReadyRetryAfterMillis(String requestId, long usualMillis) {
        return ReturnSchedule.spread(
                usualMillis / NOT_READY_SPREAD_DIVISOR, usualMillis, RequestContext.spread(requestId));
    }

    private ServiceRoom room(UpstreamSearch search) {
        return rooms.computeIfAbsent(
                search.context().routingDecision().service(),
                service -> new ServiceRoom(service, maxRequests, upstreams, metrics, clock));
    }
}
