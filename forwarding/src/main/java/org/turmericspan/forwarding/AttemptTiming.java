package org.turmericspan.forwarding;

import org.turmericspan.balancing.AttemptResult;
import org.turmericspan.balancing.Placement;
import org.turmericspan.balancing.Route;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.ids.MonotonicClock;

/**
 * Measures the age of the attempts of one request in units of the typical latency of its route on an idle upstream,
 * and records an overdue response as a failure of its upstream. All methods run on the worker of the request.
 */
final class AttemptTiming {
    /** Highest slowdown that counts as nearly normal; 1 is normal, and slow upstreams take several times as long. */
    private static final double MAX_NEARLY_NORMAL_SLOWDOWN = 2;

    private final UpstreamTable upstreams;
    private final Route route;
    private final MonotonicClock clock;
    private final RequestLog log;

    AttemptTiming(UpstreamTable upstreams, Route route, MonotonicClock clock, RequestLog log) {
        this.upstreams = upstreams;
        this.route = route;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Returns the typical latency, or half the target latency while none is known, which leaves time for a second
     * attempt.
     */
    long typicalLatencyNanos() {
        long typicalNanos = upstreams.typicalLatencyNanos(route.id());
        return typicalNanos == 0 ? route.targetLatencyNanos() / 2 : typicalNanos;
    }

    /**
     * Returns the highest slowdown at which an upstream can still respond in the remaining time. There is no limit
     * while the latency of the route is unknown. An upstream with nearly normal service time is always eligible,
     * because a route that was slow once would otherwise never be tried again.
     */
    double maxSlowdown(long remainingNanos) {
        long typicalNanos = upstreams.typicalLatencyNanos(route.id());
        return typicalNanos == 0
                ? Double.MAX_VALUE
                : Math.max(MAX_NEARLY_NORMAL_SLOWDOWN, (double) remainingNanos / typicalNanos);
    }

    /** Returns the age of an attempt in units of the typical latency. */
    double normalizedAge(Attempt attempt) {
        return (double) (clock.nowNanos() - attempt.placement().startedNanos()) / typicalLatencyNanos();
    }

    /** Returns the age at which the response to an attempt is overdue, given the current slowdown of its upstream. */
    double overdueAge(Attempt attempt) {
        return OverdueThresholds.overdueAge(slowdownPercent(attempt));
    }

    /** Records the response to an attempt as overdue if it is; returns whether it is. */
    boolean recordIfOverdue(Attempt attempt) {
        boolean isOverdue = normalizedAge(attempt) >= overdueAge(attempt);
        if (isOverdue) {
            recordOverdue(attempt);
        }
        return isOverdue;
    }

    /** Records the response to an attempt as overdue if another attempt of the request succeeded much sooner. */
    void recordIfOutrun(Attempt attempt, Attempt succeeded) {
        if (OverdueThresholds.isOutrun(normalizedAge(attempt), slowdownPercent(attempt), normalizedAge(succeeded))) {
            recordOverdue(attempt);
        }
    }

    private void recordOverdue(Attempt attempt) {
        if (attempt.markOverdue()) {
            upstreams.finish(attempt.placement(), AttemptResult.OVERDUE);
            log.failed(attempt.placement().upstream(), AttemptResult.OVERDUE, "no response yet");
        }
    }

    /** Returns the slowdown of an attempt's upstream when it was chosen or now, whichever is higher. */
    private int slowdownPercent(Attempt attempt) {
        Placement placement = attempt.placement();
        return Math.max(placement.slowdownPercent(), upstreams.slowdownPercent(placement.upstream()));
    }
}
