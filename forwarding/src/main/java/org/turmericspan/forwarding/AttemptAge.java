package org.turmericspan.forwarding;

import org.turmericspan.balancing.AttemptResult;
import org.turmericspan.balancing.Placement;
import org.turmericspan.balancing.Route;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.ids.MonotonicClock;

/**
 * Measures the attempts of one request in units of what its route typically takes on an idle upstream, and counts an
 * overdue answer as a failure of its upstream. All of it runs on the worker of the request.
 */
final class AttemptAge {
    /** Slowness up to which an upstream counts as near its usual speed; slow ones work several times as long. */
    private static final double NEAR_USUAL = 2;

    private final UpstreamTable upstreams;
    private final Route route;
    private final MonotonicClock clock;
    private final RunLog log;

    AttemptAge(UpstreamTable upstreams, Route route, MonotonicClock clock, RunLog log) {
        this.upstreams = upstreams;
        this.route = route;
        this.clock = clock;
        this.log = log;
    }

    /** Returns the typical time; before anything is known half the target, which leaves room for a second attempt. */
    long typicalLatencyNanos() {
        long typical = upstreams.typicalLatencyNanos(route.id());
        return typical == 0 ? route.targetLatencyNanos() / 2 : typical;
    }

    /**
     * Returns the highest slowness of an upstream that is worth an attempt in the time left; without bound while
     * nothing is known of the route. An upstream near its usual speed is always worth one, else a route that was slow
     * once would never be tried again.
     */
    double maxSlowdown(long leftNanos) {
        long typical = upstreams.typicalLatencyNanos(route.id());
        return typical == 0 ? Double.MAX_VALUE : Math.max(NEAR_USUAL, (double) leftNanos / typical);
    }

    /** Returns for how long an attempt has run. */
    double of(Attempt attempt) {
        return (double) (clock.nowNanos() - attempt.placement().startedNanos()) / typicalLatencyNanos();
    }

    /** Returns the age from which the answer of an attempt is overdue, by what is known of its upstream now. */
    double overdueAt(Attempt attempt) {
        return OverdueRule.at(slowdownPercent(attempt));
    }

    /** Counts the answer of an attempt as overdue if it is; returns whether it is. */
    boolean noteIfOverdue(Attempt attempt) {
        boolean isOverdue = of(attempt) >= overdueAt(attempt);
        if (isOverdue) {
            note(attempt);
        }
        return isOverdue;
    }

    /** Counts the answer of an attempt as overdue if another attempt of the request was answered so much sooner. */
    void noteIfBeaten(Attempt attempt, Attempt answered) {
        if (OverdueRule.isBeaten(of(attempt), slowdownPercent(attempt), of(answered))) {
            note(attempt);
        }
    }

    private void note(Attempt attempt) {
        if (attempt.markOverdue()) {
            upstreams.finish(attempt.placement(), AttemptResult.OVERDUE);
            log.failed(attempt.placement().upstream(), AttemptResult.OVERDUE, "no answer yet");
        }
    }

    /** Returns the slowness of an attempt's upstream at the choice or now, whichever is worse. */
    private int slowdownPercent(Attempt attempt) {
        Placement placement = attempt.placement();
        return Math.max(placement.slowdownPercent(), upstreams.slowdownPercent(placement.upstream()));
    }
}
