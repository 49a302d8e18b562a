package org.turmericspan.forwarding;

import java.util.concurrent.TimeUnit;

/**
 * Decides when an attempt that is in flight is worth hedging. Ages are in units of the typical latency of the route on
 * an idle upstream, so that the rule applies to any route.
 */
final class HedgeRule {
    /** Age of an attempt at its first hedge check; an earlier check would hardly see more than the choice did. */
    private static final double FIRST_CHECK_AGE = 0.3;
    /** Time between hedge checks, in units of the typical latency. */
    private static final double CHECK_INTERVAL = 0.25;
    /** Age above which an attempt at a slow upstream is not hedged until it is late, because it will soon finish. */
    private static final double MAX_EARLY_HEDGE_AGE = 0.7;
    /** Age at which an attempt at a slow upstream is late. */
    private static final double LATE_AGE_SLOW_UPSTREAM = 1.35;
    /** Age at which an attempt at a fast upstream is late: the request takes long, or its response is lost. */
    private static final double LATE_AGE_FAST_UPSTREAM = 1.9;
    /** Time for which an upstream that others share typically stays slow. */
    private static final long SLOW_PHASE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Fraction of the target latency that a request through a slow phase may take. */
    private static final double MAX_TARGET_FRACTION = 0.9;
    /** Slowdown at which an upstream counts as slow; 100 is normal. */
    private static final int SLOW_UPSTREAM_PERCENT = 180;

    private HedgeRule() {}

    /**
     * Returns the age of an attempt at its first check. The load pattern is an upstream that slows down for a moment
     * while it runs a request. Where the response is in time all the same, and a hedge of a late one would be, an early
     * check could only lead to attempts that are not needed.
     *
     * @param typicalNanos typical latency of the route on an idle upstream
     * @param targetNanos latency within which a response has its full value
     */
    static double firstCheckAge(long typicalNanos, long targetNanos) {
        boolean endsInTime = typicalNanos + SLOW_PHASE_NANOS <= MAX_TARGET_FRACTION * targetNanos;
        boolean isLateHedgeInTime = (LATE_AGE_SLOW_UPSTREAM + 1) * typicalNanos <= targetNanos;
        return endsInTime && isLateHedgeInTime ? LATE_AGE_SLOW_UPSTREAM : FIRST_CHECK_AGE;
    }

    /** Returns the age at the next check, after one at the given age that found no reason to hedge. */
    static double nextCheckAge(double age) {
        double next = age + CHECK_INTERVAL;
        return next > MAX_EARLY_HEDGE_AGE && next < LATE_AGE_SLOW_UPSTREAM ? LATE_AGE_SLOW_UPSTREAM : next;
    }

    /** Returns whether to hedge an attempt of the given age at an upstream with the given slowdown; 100 is normal. */
    static boolean isWorthwhile(double age, int slowdownPercent) {
        if (slowdownPercent >= SLOW_UPSTREAM_PERCENT) {
            return age <= MAX_EARLY_HEDGE_AGE || age >= LATE_AGE_SLOW_UPSTREAM;
        }
        return age >= LATE_AGE_FAST_UPSTREAM;
    }
}
