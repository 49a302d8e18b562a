package org.turmericspan.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.TreeSet;
import org.turmericspan.admission.WaitDecision.Departure;
import org.turmericspan.admission.WaitRefusal.Reason;
import org.turmericspan.ids.MonotonicClock;

/**
 * Bounded queue of the requests of one service for which no upstream has room. Answers bursts of less urgent requests
 * beside urgent ones, callers that repeat without pause, and services that have lost most of their upstreams: priority
 * goes first, then the requests that can still be in time, and share keys take turns. A request that the requests ahead
 * make too late is refused when it arrives. The class is not thread-safe: its users guard it by a lock.
 *
 * @param <W> type of the attachment that is kept with each request
 */
public final class WaitingRoom<W> {
    private final int maxWaiters;
    private final MonotonicClock clock;
    private final TreeMap<Integer, WaitingClass<W>> classes = new TreeMap<>();
    private final TreeSet<Waiter<W>> byWaitUntil = new TreeSet<>(Waiter.byWaitUntil());
    private final DrainRate drainRate = new DrainRate();
    private long nextSequence;

    /**
     * Creates an empty room.
     *
     * @param maxWaiters largest number of waiting requests
     * @param clock monotonic time
     */
    public WaitingRoom(int maxWaiters, MonotonicClock clock) {
        this.maxWaiters = maxWaiters;
        this.clock = clock;
    }

    /**
     * Decides whether a request waits.
     *
     * @param request the request
     * @param attachment object that {@link Waiter#attachment} returns
     * @return its place, or why it is refused
     */
    public WaitDecision<W> arrive(WaitRequest request, W attachment) {
        long now = clock.nowNanos();
        update(now);
        Waiter<W> arriving = new Waiter<>(request, attachment, now, nextSequence);
        nextSequence++;
        int ahead = estimateAhead(arriving);
        if (request.waitUntilNanos() - now <= 0 || isHopeless(admissionUntilNanos(arriving, now), ahead, now)) {
            return new WaitDecision.Refused<>(refusal(Reason.HOPELESS, request, ahead, now));
        }
        List<Departure<W>> departures = new ArrayList<>();
        if (size() >= maxWaiters) {
            Optional<Waiter<W>> yielding = findYielding(arriving);
            if (yielding.isEmpty()) {
                return new WaitDecision.Refused<>(refusal(Reason.FULL, request, ahead, now));
            }
            departures.add(depart(yielding.get(), Reason.YIELDED, now));
        }
        if (size() == 0) {
            drainRate.waitBegan(now);
        }
        classes.computeIfAbsent(request.priority(), priority -> new WaitingClass<>())
                .add(arriving);
        byWaitUntil.add(arriving);
        return new WaitDecision.Waits<>(arriving, departures);
    }

    /**
     * Removes the requests whose time is over, and those at the end of the order that the requests ahead of them make
     * too late.
     *
     * @return the removed requests
     */
    public List<Departure<W>> removeHopeless() {
        long now = clock.nowNanos();
        update(now);
        List<Departure<W>> departures = new ArrayList<>();
        while (!byWaitUntil.isEmpty() && byWaitUntil.first().request().waitUntilNanos() - now <= 0) {
            departures.add(depart(byWaitUntil.first(), Reason.EXPIRED, now));
        }
        while (!classes.isEmpty()) {
            Waiter<W> last = classes.lastEntry().getValue().last();
            if (!isHopeless(last.request().waitUntilNanos(), size() - 1, now)) {
                break;
            }
            departures.add(depart(last, Reason.OVERTAKEN, now));
        }
        return departures;
    }

    /**
     * Returns the request to offer the next room to.
     *
     * @param minPriority number of the highest priority to consider; 0 for all
     * @return the first request in the order, which stays in the room; empty when none of these priorities waits
     */
    public Optional<Waiter<W>> head(int minPriority) {
        update(clock.nowNanos());
        return Optional.ofNullable(classes.ceilingEntry(minPriority))
                .map(entry -> entry.getValue().first());
    }

    /**
     * Returns the request of a priority with the most time left, which may use an upstream that is too slow for the
     * first one.
     *
     * @param priority the priority
     * @return the request, which stays in the room; empty when it is the first one
     */
    public Optional<Waiter<W>> freshest(int priority) {
        update(clock.nowNanos());
        return Optional.ofNullable(classes.get(priority)).flatMap(WaitingClass::freshest);
    }

    /**
     * Removes a request that starts.
     *
     * @param waiter its place
     * @return false when it had left before
     */
    public boolean start(Waiter<W> waiter) {
        long now = clock.nowNanos();
        if (!byWaitUntil.contains(waiter)) {
            return false;
        }
        drainRate.started(now);
        remove(waiter, true, now);
        return true;
    }

    /**
     * Removes a request that ends without a start.
     *
     * @param waiter its place
     * @return false when it had left before
     */
    public boolean leave(Waiter<W> waiter) {
        if (!byWaitUntil.contains(waiter)) {
            return false;
        }
        remove(waiter, false, clock.nowNanos());
        return true;
    }

    /**
     * Returns whether no request of the same or a higher priority waits, so that a new one passes nobody by.
     *
     * @param priority priority of the new request
     * @return true if so
     */
    public boolean isNextInLine(int priority) {
        return classes.floorKey(priority) == null;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return number of all priorities
     */
    public int size() {
        return byWaitUntil.size();
    }

    /**
     * Returns when the next request is to be refused because its time is over.
     *
     * @return monotonic time; empty when none waits
     */
    public OptionalLong nextExpiryNanos() {
        return byWaitUntil.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(byWaitUntil.first().request().waitUntilNanos());
    }

    /**
     * Returns the mean time between two starts of waiting requests.
     *
     * @return the time; empty while no request has started in the present shortage
     */
    public Optional<Duration> startInterval() {
        return drainRate.interval(clock.nowNanos());
    }

    /**
     * Describes a refusal that is decided outside the room.
     *
     * @param reason the reason
     * @param request the refused request
     * @return the refusal, with the present state of the room
     */
    public WaitRefusal refusal(Reason reason, WaitRequest request) {
        return refusal(reason, request, size(), clock.nowNanos());
    }

    private WaitRefusal refusal(Reason reason, WaitRequest request, int ahead, long now) {
        return new WaitRefusal(reason, size(), ahead, drainRate.interval(now), request.usefulUntilNanos(now) - now);
    }

    /**
     * Returns the time by which the requests ahead of an arriving one must be served. While others wait that can be in
     * time, more of them come and pass a late request by, so that its wait is longer than that for those ahead now.
     */
    private long admissionUntilNanos(Waiter<W> arriving, long now) {
        boolean isPassedBy = false;
        for (WaitingClass<W> ahead :
                classes.headMap(arriving.request().priority(), true).values()) {
            isPassedBy |= arriving.isLate() && ahead.hasInTime();
        }
        return arriving.request().admissionUntilNanos(now, isPassedBy);
    }

    /** The request at the head is never hopeless by the drain rate, since the next room is its own. */
    private boolean isHopeless(long usefulUntilNanos, int ahead, long now) {
        return ahead > 0
                && DeadlineAdmission.decide(usefulUntilNanos, now, ahead, 1, drainRate.interval(now))
                        .isPresent();
    }

    private int estimateAhead(Waiter<W> arriving) {
        int ahead = 0;
        for (Map.Entry<Integer, WaitingClass<W>> entry : classes.entrySet()) {
            if (entry.getKey() > arriving.request().priority()) {
                break;
            }
            boolean isSamePriority = entry.getKey() == arriving.request().priority();
            ahead += isSamePriority
                    ? entry.getValue().estimateAhead(arriving)
                    : entry.getValue().size();
        }
        return ahead;
    }

    private Optional<Waiter<W>> findYielding(Waiter<W> arriving) {
        Map.Entry<Integer, WaitingClass<W>> lowest = classes.lastEntry();
        int priority = arriving.request().priority();
        boolean yields = lowest != null
                && (lowest.getKey() > priority
                        || lowest.getKey() == priority && lowest.getValue().yieldsTo(arriving));
        return yields ? Optional.of(lowest.getValue().last()) : Optional.empty();
    }

    private Departure<W> depart(Waiter<W> waiter, Reason reason, long now) {
        WaitRefusal refusal = refusal(reason, waiter.request(), size() - 1, now);
        remove(waiter, false, now);
        return new Departure<>(waiter, refusal);
    }

    private void remove(Waiter<W> waiter, boolean isStarted, long now) {
        int priority = waiter.request().priority();
        WaitingClass<W> waitingClass = classes.get(priority);
        waitingClass.remove(waiter, isStarted);
        if (waitingClass.size() == 0) {
            classes.remove(priority);
        }
        byWaitUntil.remove(waiter);
        if (size() == 0) {
            drainRate.waitEnded(now);
        }
    }

    private void update(long now) {
        for (WaitingClass<W> waitingClass : classes.values()) {
            waitingClass.update(now);
        }
    }
}
