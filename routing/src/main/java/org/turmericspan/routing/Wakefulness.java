package org.turmericspan.routing;

import java.time.Duration;

/**
 * Decides whether this process may act on what it knows. After a gap between two ticks it grants nothing until the view
 * has been confirmed anew, some time after the wake-up, so that messages received before the gap do not count.
 */
final class Wakefulness {
    private static final Duration SETTLE = Duration.ofMillis(300);

    private final SlotRules rules;
    private boolean suspended;
    private long lastTickNanos;
    private long wokeNanos;
    private long viewConfirmedNanos;

    Wakefulness(SlotRules rules) {
        this.rules = rules;
    }

    /** Notes a tick; returns whether the process has just woken up late. */
    boolean tick(long nowNanos, long confirmedNanos, boolean hasOthers) {
        boolean wokeLate = isLate(nowNanos);
        lastTickNanos = nowNanos;
        viewConfirmedNanos = confirmedNanos;
        if (wokeLate) {
            suspended = hasOthers;
            wokeNanos = nowNanos;
        } else if (suspended) {
            suspended = hasOthers && confirmedNanos - wokeNanos < SETTLE.toNanos();
        }
        return wokeLate;
    }

    /** Tells whether the last tick is so long ago that the process must have slept. */
    boolean isLate(long nowNanos) {
        return lastTickNanos != 0
                && nowNanos - lastTickNanos > rules.maxTickGap().toNanos();
    }

    boolean isSuspended() {
        return suspended;
    }

    /** Tells whether the view is young enough to claim upstreams that are not warm. */
    boolean isViewFresh(long nowNanos) {
        return lastTickNanos == 0
                || nowNanos - viewConfirmedNanos <= rules.viewLagBound().toNanos();
    }
}
