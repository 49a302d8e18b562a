package org.turmericspan.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.TreeSet;
import org.turmericspan.ids.MonotonicClock;

/**
 * Schedule on which the refused callers of one service return. Answers the load of many callers that were refused
 * together, in a burst or after a loss of all nodes, and would return together: each returns when room is expected for
 * it, behind the requests that wait, urgent ones and earlier arrivals first, and never later than a third of the time
 * it has left. A caller that will be late anyway gives way: it returns in the second half of that time. While no
 * upstream takes requests, callers are spread over that time. The class is not thread-safe: its users guard it by a
 * lock.
 */
public final class ReturnSchedule {
    /** Divisor of the time that a caller has left which yields the latest return. */
    private static final int MAX_DELAY_DIVISOR = 3;
    /** Divisor of the latest return that yields the earliest of callers that are spread over a time. */
    private static final int SPREAD_START_DIVISOR = 2;
    /** Factor on the usual delay that yields the latest return while the rate is unknown and there is room. */
    private static final int USUAL_SPREAD_FACTOR = 2;
    /** Maximum number of expected returns that are remembered; later callers count as behind all of them. */
    private static final int MAX_RETURNS = 1_024;

    private final MonotonicClock clock;
    private final TreeSet<ExpectedReturn> byDue = new TreeSet<>(ReturnSchedule::compareDue);
    private final TreeSet<ExpectedReturn> byUrgency = new TreeSet<>(ReturnSchedule::compareUrgency);
    private long nextSequence;

    /**
     * Creates an empty schedule.
     *
     * @param clock monotonic time
     */
    public ReturnSchedule(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Returns when a refused caller is to return, and expects it then.
     *
     * @param caller the caller
     * @param waiting number of requests that wait for the service
     * @param startInterval mean time between two starts of waiting requests; empty while it is unknown
     * @return delay in nanoseconds
     */
    public long delayNanos(RefusedCaller caller, int waiting, Optional<Duration> startInterval) {
        long now = clock.nowNanos();
        dropPast(now);
        long maxNanos = maxNanos(caller);
        ExpectedReturn place = new ExpectedReturn(caller.priority(), caller.arrivedNanos(), 0, nextSequence);
        nextSequence++;
        long delayNanos;
        if (startInterval.isEmpty()) {
            delayNanos = spread(
                    Math.min(caller.usualNanos(), maxNanos),
                    Math.min(USUAL_SPREAD_FACTOR * caller.usualNanos(), maxNanos),
                    caller.spread());
        } else {
            long ahead = byUrgency.headSet(place).size();
            delayNanos = startInterval.get().multipliedBy(1L + waiting + ahead).toNanos();
            if (delayNanos > Math.min(maxNanos, caller.inTimeLeftNanos())) {
                delayNanos = spread(maxNanos / SPREAD_START_DIVISOR, maxNanos, caller.spread());
            }
        }
        expect(place.dueAt(now + delayNanos));
        return delayNanos;
    }

    /**
     * Returns when a refused caller is to return while no upstream is known to take requests, so that nothing is known
     * of the time at which there is room.
     *
     * @param caller the caller
     * @param untilAdmissionNanos time until an upstream takes requests, by what the upstreams said; 0 if unknown
     * @return delay in nanoseconds, spread over all that the caller may wait
     */
    public long spreadNanos(RefusedCaller caller, long untilAdmissionNanos) {
        long maxNanos = maxNanos(caller);
        long earliestNanos = Math.max(caller.usualNanos(), untilAdmissionNanos);
        return spread(Math.min(earliestNanos, maxNanos / SPREAD_START_DIVISOR), maxNanos, caller.spread());
    }

    private static long maxNanos(RefusedCaller caller) {
        return Math.max(0, caller.leftNanos() / MAX_DELAY_DIVISOR);
    }

    /**
     * Returns a moment of a time by the spread of a caller, for callers that are refused together.
     *
     * @param fromNanos earliest moment
     * @param toNanos latest moment
     * @param spread number from 0 to 1
     * @return nanoseconds
     */
    public static long spread(long fromNanos, long toNanos, double spread) {
        return fromNanos + (long) (spread * (toNanos - fromNanos));
    }

    private void expect(ExpectedReturn expected) {
        if (byDue.size() < MAX_RETURNS) {
            byDue.add(expected);
            byUrgency.add(expected);
        }
    }

    private void dropPast(long now) {
        while (!byDue.isEmpty() && byDue.first().dueNanos - now <= 0) {
            byUrgency.remove(byDue.pollFirst());
        }
    }

    private record ExpectedReturn(int priority, long arrivedNanos, long dueNanos, long sequence) {
        ExpectedReturn dueAt(long nanos) {
            return new ExpectedReturn(priority, arrivedNanos, nanos, sequence);
        }
    }

    private static int compareDue(ExpectedReturn one, ExpectedReturn other) {
        return one.dueNanos == other.dueNanos
                ? Long.compare(one.sequence, other.sequence)
                : Long.signum(one.dueNanos - other.dueNanos);
    }

    private static int compareUrgency(ExpectedReturn one, ExpectedReturn other) {
        if (one.priority != other.priority) {
            return Integer.compare(one.priority, other.priority);
        }
        return one.arrivedNanos == other.arrivedNanos
                ? Long.compare(one.sequence, other.sequence)
                : Long.signum(one.arrivedNanos - other.arrivedNanos);
    }
}
