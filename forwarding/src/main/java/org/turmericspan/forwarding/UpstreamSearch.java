package org.turmericspan.forwarding;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.turmericspan.admission.Waiter;
import org.turmericspan.balancing.Placement;
import org.turmericspan.balancing.Route;
import org.turmericspan.balancing.SelectionCriteria;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.StableHash;
import org.turmericspan.ids.UpstreamId;

/**
 * Search of one request for the upstream of its next attempt. Methods run on the worker of the request; those that only
 * choose also run elsewhere while the request waits, since nothing changes the set of tried upstreams then.
 */
public final class UpstreamSearch {
    /** Minimum time until the deadline with which an attempt is started. */
    static final long MIN_REMAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    /**
     * Divisor of the target latency that yields the maximum wait for an upstream that is fast enough. After it, the
     * request is sent to any usable upstream.
     */
    private static final int MAX_WAIT_DIVISOR = 8;
    /** Fraction of the target latency that the expected duration may take; the rest is for variance and the network. */
    private static final double EXPECTED_DURATION_FRACTION = 0.85;
    /** Divisor of the target latency that yields the maximum wait for load reports before an upstream is chosen. */
    private static final int LOAD_REFRESH_DIVISOR = 16;

    private final RequestContext context;
    private final UpstreamTable upstreams;
    private final MonotonicClock clock;
    private final Set<UpstreamId> triedUpstreams;
    private final LoadRefresher loadRefresher;
    private final AttemptTiming timing;
    private final Listener listener;
    private final double zoneDraw;
    private Waiter<UpstreamSearch> waiter;
    private boolean refreshed;

    UpstreamSearch(
            RequestContext context,
            ForwardingDependencies dependencies,
            Set<UpstreamId> triedUpstreams,
            LoadRefresher loadRefresher,
            AttemptTiming timing,
            Listener listener) {
        this.context = context;
        this.upstreams = dependencies.tables().upstreams();
        this.clock = dependencies.clock();
        this.triedUpstreams = triedUpstreams;
        this.loadRefresher = loadRefresher;
        this.timing = timing;
        this.listener = listener;
        this.zoneDraw =
                StableHash.fraction(StableHash.combine(StableHash.of(context.requestId()), context.arrivedNanos()));
    }

    /** Receives the result of a search, on the worker of the request. */
    interface Listener {
        /** Returns whether the request is still to be sent; ends it if it may not be any more. */
        boolean mayContinue();

        /** Starts an attempt. */
        void placed(Placement placement);

        /** Ends the request, for which no upstream was found. */
        void refused(ResultCode code);
    }

    RequestContext context() {
        return context;
    }

    Route route() {
        return context.route();
    }

    Listener listener() {
        return listener;
    }

    long nowNanos() {
        return clock.nowNanos();
    }

    long remainingNanos() {
        return context.deadlineNanos() - clock.nowNanos();
    }

    /** Returns the time left to wait for an upstream that is fast enough; not positive when it is over. */
    long remainingFastWaitNanos() {
        return fastWaitUntilNanos() - clock.nowNanos();
    }

    /** Returns when the request stops to wait for an upstream that is fast enough, and takes any. */
    long fastWaitUntilNanos() {
        return context.arrivedNanos() + route().targetLatencyNanos() / MAX_WAIT_DIVISOR;
    }

    AttemptTiming timing() {
        return timing;
    }

    /** Returns constraints without a limit on the cost. */
    SelectionCriteria criteria() {
        return criteria(Double.MAX_VALUE);
    }

    SelectionCriteria criteria(double maxCost) {
        return new SelectionCriteria(
                route().id(),
                context.routingDecision().service(),
                triedUpstreams,
                context.routingDecision().priority(),
                maxCost,
                timing.maxSlowdown(remainingNanos()),
                zoneDraw);
    }

    /** Chooses an upstream that responds in time, or after some time any usable one. */
    Optional<Placement> choose() {
        return remainingFastWaitNanos() > 0 ? chooseInTime() : chooseAny();
    }

    /** Chooses an upstream that responds in time. */
    Optional<Placement> chooseInTime() {
        return choose(maxInTimeCost());
    }

    private Optional<Placement> chooseAny() {
        return choose(Double.MAX_VALUE);
    }

    private Optional<Placement> choose(double maxCost) {
        return remainingNanos() < MIN_REMAINING_NANOS ? Optional.empty() : upstreams.choose(criteria(maxCost));
    }

    /**
     * Returns the maximum cost at which a response is expected within the target latency. If no upstream meets it, the
     * request waits, because a slot at a better upstream is likely to become free soon.
     */
    private double maxInTimeCost() {
        long waitedNanos = clock.nowNanos() - context.arrivedNanos();
        return (EXPECTED_DURATION_FRACTION * route().targetLatencyNanos() - waitedNanos) / timing.typicalLatencyNanos();
    }

    /** Runs an action once the best candidates have reported their load, or after a short time. */
    void refreshCandidates(Runnable action) {
        refreshCandidates(Double.MAX_VALUE, action);
    }

    void refreshCandidates(double maxCost, Runnable action) {
        loadRefresher.refreshCandidates(criteria(maxCost), loadRefreshNanos(), action);
    }

    void refresh(UpstreamId upstream, Runnable action) {
        loadRefresher.refresh(upstream, loadRefreshNanos(), action);
    }

    private long loadRefreshNanos() {
        return route().targetLatencyNanos() / LOAD_REFRESH_DIVISOR;
    }

    /** Returns the place of the request in a waiting room; null when it does not wait. Guarded by the room's lock. */
    Waiter<UpstreamSearch> waiter() {
        return waiter;
    }

    void setWaiter(Waiter<UpstreamSearch> place) {
        waiter = place;
        refreshed = false;
    }

    /** Returns true the first time since the wait began. */
    boolean markRefreshed() {
        boolean isFirst = !refreshed;
        refreshed = true;
        return isFirst;
    }
}
