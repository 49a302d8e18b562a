package org.turmericspan.routing;

import java.time.Duration;

/**
 * Detects process pauses by gaps between ticks. After a pause, granting is suspended until the view has been confirmed
 * again some time after the process resumed, so that messages received before the pause do not count as confirmation.
 */
final class PauseDetector {
    /** Time after the process has resumed before which a confirmation of the view does not count. */
    private static final Duration VIEW_CONFIRMATION_DELAY = Duration.ofMillis(300);

    private final SlotRules rules;
    private boolean suspended;
    private long lastTickNanos;
    private long resumedNanos;
    private long viewConfirmedNanos;

    PauseDetector(SlotRules rules) {
        this.rules = rules;
    }

    /** Records a tick and returns whether the process has just resumed from a pause. */
    boolean tick(long nowNanos, long newViewConfirmedNanos, boolean hasOtherNodes) {
        boolean justResumed = hasPaused(nowNanos);
        lastTickNanos = nowNanos;
        viewConfirmedNanos = newViewConfirmedNanos;
        if (justResumed) {
            suspended = hasOtherNodes;
            resumedNanos = nowNanos;
        } else if (suspended) {
            suspended = hasOtherNodes && newViewConfirmedNanos - resumedNanos < VIEW_CONFIRMATION_DELAY.toNanos();
        }
        return justResumed;
    }

    /** Returns whether the last tick is so long ago that the process must have been paused. */
    boolean hasPaused(long nowNanos) {
        return lastTickNanos != 0
                && nowNanos - lastTickNanos > rules.maxTickGap().toNanos();
    }

    boolean isSuspended() {
        return suspended;
    }

    /**
     * Returns whether the view was confirmed recently enough to use upstreams that are not warm. Also true before the
     * first tick.
     */
    boolean isViewFresh(long nowNanos) {
        return lastTickNanos == 0
                || nowNanos - viewConfirmedNanos <= rules.viewLagBound().toNanos();
    }
}
