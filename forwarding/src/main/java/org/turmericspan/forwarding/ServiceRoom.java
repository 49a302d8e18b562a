package org.turmericspan.forwarding;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.turmericspan.admission.CallerAge;
import org.turmericspan.admission.PriorityReserve;
import org.turmericspan.admission.RefusedCaller;
import org.turmericspan.admission.ReturnSchedule;
import org.turmericspan.admission.WaitDecision;
import org.turmericspan.admission.WaitDecision.Departure;
import org.turmericspan.admission.WaitRefusal;
import org.turmericspan.admission.WaitRefusal.Reason;
import org.turmericspan.admission.WaitRequest;
import org.turmericspan.admission.Waiter;
import org.turmericspan.admission.WaitingRoom;
import org.turmericspan.balancing.AttemptResult;
import org.turmericspan.balancing.Placement;
import org.turmericspan.balancing.Route;
import org.turmericspan.balancing.ServiceSlots;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Offers the room at the upstreams of one service to the requests that wait for it. Changes of the upstreams that come
 * before the next turn of a worker lead to one pass, which offers the head of each priority until it finds no upstream.
 * Beside these changes at most one timer wakes the room, at the next known time.
 */
final class ServiceRoom {
    /** Maximum number of routes of the service whose callers are known; the first ones are forgotten. */
    private static final int MAX_ROUTES = 1_024;
    /** Divisor of the time that a request has which yields how long it waits when it will be late. */
    private static final int LATE_WAIT_DIVISOR = 2;

    private final RankedLock lock = new RankedLock(LockRank.WAITERS);
    private final WaitingRoom<UpstreamSearch> room;
    private final PriorityReserve reserve;
    private final ReturnSchedule returns;
    private final Map<RouteId, CallerAge> callerAges = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RouteId, CallerAge> eldest) {
            return size() > MAX_ROUTES;
        }
    };
    private final ServiceId service;
    private final UpstreamTable upstreams;
    private final ForwardingMetrics metrics;
    private final MonotonicClock clock;
    /** Wake-ups that no pass has covered yet; the one that finds none starts a pass. */
    private final AtomicInteger wakeUps = new AtomicInteger();
    /** Number of waiting requests, so that changes wake an empty room at no cost. */
    private volatile int waiting;
    /** Worker of the request that entered last, which runs the passes. */
    private volatile ScheduledExecutorService worker;

    private final RoomTimer timer = new RoomTimer(this::wake);

    ServiceRoom(
            ServiceId service,
            int maxRequests,
            UpstreamTable upstreams,
            ForwardingMetrics metrics,
            MonotonicClock clock) {
        this.service = service;
        this.upstreams = upstreams;
        this.metrics = metrics;
        this.clock = clock;
        this.room = new WaitingRoom<>(maxRequests, clock);
        this.reserve = new PriorityReserve(clock);
        this.returns = new ReturnSchedule(clock);
    }

    /** Records what the caller of a request allows. */
    void recordCaller(RequestContext context) {
        lock.run(() -> callerAge(context).record(context.allowedNanos()));
    }

    private CallerAge callerAge(RequestContext context) {
        return callerAges.computeIfAbsent(context.route().id(), route -> new CallerAge(clock));
    }

    /** Returns whether nobody waits whom the request would pass by. */
    boolean isNextInLine(UpstreamSearch search) {
        return waiting == 0 || lock.compute(() -> room.isNextInLine(priority(search)));
    }

    /** Places a request at once if nobody is passed by and an upstream has room; otherwise it waits or is refused. */
    void enter(UpstreamSearch search) {
        if (!search.listener().mayContinue()) {
            return;
        }
        Optional<Placement> placement = isNextInLine(search) ? choose(search) : Optional.empty();
        if (placement.isPresent()) {
            search.listener().placed(placement.get());
            return;
        }
        WaitRequest request = waitRequest(search);
        long untilAdmissionNanos = upstreams.untilAdmissionNanos(search.criteria());
        if (untilAdmissionNanos > 0 && untilAdmissionNanos >= request.waitUntilNanos() - clock.nowNanos()) {
            refuse(search, lock.compute(() -> room.refusal(Reason.NO_UPSTREAM, request)));
            return;
        }
        worker = search.context().worker();
        WaitDecision<UpstreamSearch> decision = lock.compute(() -> arrive(request, search));
        if (decision instanceof WaitDecision.Refused<UpstreamSearch> refused) {
            refuse(search, refused.refusal());
        } else if (decision instanceof WaitDecision.Waits<UpstreamSearch> waits) {
            metrics.waitBegan(service);
            waits.departures().forEach(this::depart);
            wake();
        }
    }

    private WaitDecision<UpstreamSearch> arrive(WaitRequest request, UpstreamSearch search) {
        WaitDecision<UpstreamSearch> decision = room.arrive(request, search);
        if (decision instanceof WaitDecision.Waits<UpstreamSearch> waits) {
            waits.departures()
                    .forEach(departure -> departure.waiter().attachment().setWaiter(null));
            search.setWaiter(waits.waiter());
        }
        waiting = room.size();
        return decision;
    }

    /** Removes a request that has ended, if it waits. */
    void leave(UpstreamSearch search) {
        Optional<Waiter<UpstreamSearch>> left = lock.compute(() -> {
            Optional<Waiter<UpstreamSearch>> waiter = Optional.ofNullable(search.waiter());
            waiter.ifPresent(room::leave);
            search.setWaiter(null);
            waiting = room.size();
            return waiter;
        });
        left.ifPresent(waiter -> {
            waitEnded(waiter);
            wake();
        });
    }

    void attemptStarted(int priority) {
        lock.run(() -> reserve.started(priority));
    }

    void attemptEnded(int priority) {
        lock.run(() -> reserve.ended(priority));
    }

    /**
     * Returns when the caller of a refused request is to return.
     *
     * @param usualNanos delay when nothing is known of the service
     */
    long returnMillis(UpstreamSearch search, long usualNanos) {
        RequestContext context = search.context();
        RefusedCaller caller = new RefusedCaller(
                priority(search),
                context.arrivedNanos(),
                context.callerDeadlineNanos() - clock.nowNanos(),
                inTimeUntilNanos(context) - clock.nowNanos(),
                usualNanos,
                context.spread());
        long untilAdmissionNanos = upstreams.untilAdmissionNanos(search.criteria());
        boolean isLost = upstreams.capacity(search.criteria()).usable() == 0;
        long delayNanos = lock.compute(() -> isLost && room.startInterval().isEmpty()
                ? returns.spreadNanos(caller, untilAdmissionNanos == Long.MAX_VALUE ? 0 : untilAdmissionNanos)
                : returns.delayNanos(caller, room.size(), room.startInterval()));
        return TimeUnit.NANOSECONDS.toMillis(delayNanos);
    }

    /** Has a pass run in the next turn of a worker, unless nobody waits or one is about to run. */
    void wake() {
        boolean isNeeded = waiting > 0 || timer.isSet();
        if (isNeeded && wakeUps.getAndIncrement() == 0) {
            worker.execute(this::pass);
        }
    }

    private void pass() {
        int covered = wakeUps.get();
        try {
            removeHopeless();
            offerHeads();
            setTimer();
        } finally {
            if (wakeUps.addAndGet(-covered) != 0) {
                worker.execute(this::pass);
            }
        }
    }

    private void removeHopeless() {
        List<Departure<UpstreamSearch>> departures = lock.compute(() -> {
            List<Departure<UpstreamSearch>> removed = room.removeHopeless();
            removed.forEach(departure -> departure.waiter().attachment().setWaiter(null));
            waiting = room.size();
            return removed;
        });
        departures.forEach(this::depart);
    }

    private void offerHeads() {
        Optional<Waiter<UpstreamSearch>> head = head(0);
        while (head.isPresent()) {
            int priority = head.get().request().priority();
            head = head(offerTo(head.get(), priority) ? priority : priority + 1);
        }
    }

    /**
     * Offers room to the requests of a priority: to the first if it will be in time, then to the one with the most time
     * left, which may be in time at a slower upstream, and then to both again, if they take any upstream by now.
     * Returns whether one of them started. The reserve holds a head up only until it takes any upstream, so that it
     * shuts out no priority.
     */
    private boolean offerTo(Waiter<UpstreamSearch> head, int priority) {
        if (isReservedFrom(priority)) {
            return startAtAny(head);
        }
        Optional<Waiter<UpstreamSearch>> freshest = lock.compute(() -> room.freshest(priority));
        boolean isStarted = freshest.isPresent()
                        && (startAt(head, head.attachment().chooseInTime())
                                || startAt(
                                        freshest.get(),
                                        freshest.get().attachment().chooseInTime()))
                || startAt(head, head.attachment().choose())
                || freshest.isPresent() && startAtAny(freshest.get());
        if (!isStarted) {
            refreshOnce(head.attachment());
        }
        return isStarted;
    }

    private boolean startAtAny(Waiter<UpstreamSearch> waiter) {
        return waiter.attachment().remainingFastWaitNanos() <= 0
                && startAt(waiter, waiter.attachment().choose());
    }

    private boolean startAt(Waiter<UpstreamSearch> waiter, Optional<Placement> placement) {
        placement.ifPresent(chosen -> start(waiter, chosen));
        return placement.isPresent();
    }

    private Optional<Waiter<UpstreamSearch>> head(int minPriority) {
        return lock.compute(() -> room.head(minPriority));
    }

    private void start(Waiter<UpstreamSearch> waiter, Placement placement) {
        UpstreamSearch search = waiter.attachment();
        boolean isStarted = lock.compute(() -> {
            boolean hasWaited = room.start(waiter);
            search.setWaiter(null);
            waiting = room.size();
            return hasWaited;
        });
        if (!isStarted) {
            upstreams.finish(placement, AttemptResult.CANCELLED);
            return;
        }
        waitEnded(waiter);
        search.context().worker().execute(() -> {
            if (search.listener().mayContinue()) {
                search.listener().placed(placement);
            } else {
                upstreams.finish(placement, AttemptResult.CANCELLED);
            }
        });
    }

    /** Asks for the load of the best upstreams again when a head that has waited for a fast one takes any. */
    private void refreshOnce(UpstreamSearch search) {
        if (search.remainingFastWaitNanos() <= 0 && search.markRefreshed()) {
            search.context().worker().execute(() -> search.refreshCandidates(this::wake));
        }
    }

    private Optional<Placement> choose(UpstreamSearch search) {
        return isReservedFrom(priority(search)) ? Optional.empty() : search.choose();
    }

    private boolean isReservedFrom(int priority) {
        if (!lock.compute(() -> reserve.mayReserveFrom(priority))) {
            return false;
        }
        ServiceSlots slots = upstreams.outlook().slots(service);
        return lock.compute(() -> !reserve.admits(priority, slots.total(), slots.busy()));
    }

    private void setTimer() {
        long now = clock.nowNanos();
        long untilExpiryNanos = lock.compute(room::nextExpiryNanos).orElse(now) - now;
        if (waiting == 0) {
            timer.cancel();
            return;
        }
        long untilNanos = Math.min(untilExpiryNanos, upstreams.outlook().untilNextReturnNanos(service));
        for (Optional<Waiter<UpstreamSearch>> head = head(0);
                head.isPresent();
                head = head(head.get().request().priority() + 1)) {
            untilNanos = untilAny(head.get(), untilNanos);
            int priority = head.get().request().priority();
            Optional<Waiter<UpstreamSearch>> freshest = lock.compute(() -> room.freshest(priority));
            untilNanos = freshest.isPresent() ? untilAny(freshest.get(), untilNanos) : untilNanos;
        }
        timer.set(now + untilNanos, untilNanos, worker);
    }

    /** Returns the time until a request takes any upstream, if that is to come sooner than another time. */
    private static long untilAny(Waiter<UpstreamSearch> waiter, long otherNanos) {
        long fastWaitNanos = waiter.attachment().remainingFastWaitNanos();
        return fastWaitNanos > 0 ? Math.min(otherNanos, fastWaitNanos) : otherNanos;
    }

    private void depart(Departure<UpstreamSearch> departure) {
        waitEnded(departure.waiter());
        UpstreamSearch search = departure.waiter().attachment();
        search.context().worker().execute(() -> {
            if (search.listener().mayContinue()) {
                refuse(search, departure.refusal());
            }
        });
    }

    private void waitEnded(Waiter<UpstreamSearch> waiter) {
        metrics.waitEnded(service, clock.nowNanos() - waiter.arrivedNanos());
    }

    private void refuse(UpstreamSearch search, WaitRefusal refusal) {
        metrics.waitRefused(service, refusal.reason());
        search.context().log().waitRefused(refusal);
        boolean isFull = refusal.reason() == Reason.FULL || refusal.reason() == Reason.YIELDED;
        search.listener().refused(isFull ? ResultCode.QUEUE_FULL : ResultCode.NO_CAPACITY);
    }

    private static int priority(UpstreamSearch search) {
        return search.context().routingDecision().priority();
    }

    /**
     * Returns until when a request waits: while it can be in time, and when it cannot, for half of its time at most,
     * which leaves its caller time for another try. Without upstreams it waits for a moment only.
     */
    private WaitRequest waitRequest(UpstreamSearch search) {
        RequestContext context = search.context();
        Route route = context.route();
        long usualNanos = upstreams.typicalLatencyNanos(route.id());
        long inTimeUntilNanos = inTimeUntilNanos(context);
        long allowedNanos = context.deadlineNanos() - context.arrivedNanos();
        long lateUntilNanos = context.arrivedNanos() + allowedNanos / LATE_WAIT_DIVISOR;
        long lastStartNanos = context.deadlineNanos() - Math.max(usualNanos, UpstreamSearch.MIN_REMAINING_NANOS);
        long waitUntilNanos = Math.min(lastStartNanos, Math.max(lateUntilNanos, inTimeUntilNanos));
        if (upstreams.capacity(search.criteria()).registered() == 0) {
            waitUntilNanos = Math.min(waitUntilNanos, search.fastWaitUntilNanos());
        }
        return new WaitRequest(service, priority(search), context.shareKey(), inTimeUntilNanos, waitUntilNanos);
    }

    /**
     * Returns until when a start at an idle upstream of normal speed ends within the target latency, counted from the
     * first try of the caller.
     */
    private long inTimeUntilNanos(RequestContext context) {
        Route route = context.route();
        long ageNanos = lock.compute(() -> callerAge(context).ageNanos(context.allowedNanos()));
        return context.arrivedNanos()
                - ageNanos
                + route.targetLatencyNanos()
                - upstreams.typicalLatencyNanos(route.id());
    }
}
