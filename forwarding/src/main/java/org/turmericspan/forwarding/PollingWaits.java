package org.turmericspan.forwarding;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.Placement;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.errors.ResultCode;

/**
 * Each waiting request tries again at intervals, for a fraction of its target latency. Used by deployments whose
 * settings ask for no waiting room.
 */
public final class PollingWaits implements UpstreamWaits {
    /** Interval at which a waiting request tries again to select an upstream. */
    private static final long SELECTION_INTERVAL_MILLIS = 10;

    private final UpstreamTable upstreams;

    /**
     * Creates the policy.
     *
     * @param upstreams states of the upstreams
     */
    public PollingWaits(UpstreamTable upstreams) {
        this.upstreams = upstreams;
    }

    @Override
    public void find(UpstreamSearch search) {
        search.refreshCandidates(() -> chooseOrWait(search));
    }

    private void chooseOrWait(UpstreamSearch search) {
        if (!search.listener().mayContinue()) {
            return;
        }
        Optional<Placement> placement = search.choose();
        if (placement.isPresent()) {
            search.listener().placed(placement.get());
        } else if (search.remainingNanos() > UpstreamSearch.MIN_REMAINING_NANOS && isWaitWorthwhile(search)) {
            search.context().worker().schedule(() -> find(search), SELECTION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            search.listener().refused(ResultCode.NO_CAPACITY);
        }
    }

    /** Returns whether an upstream may take the request within the remaining wait, by what the upstreams said. */
    private boolean isWaitWorthwhile(UpstreamSearch search) {
        long remainingWaitNanos = search.remainingFastWaitNanos();
        return remainingWaitNanos > 0 && upstreams.untilAdmissionNanos(search.criteria()) < remainingWaitNanos;
    }

    /** Does nothing: the next try finds the request ended. */
    @Override
    public void end(UpstreamSearch search) {}

    @Override
    public void attemptStarted(UpstreamSearch search) {}

    @Override
    public void attemptEnded(UpstreamSearch search) {}

    @Override
    public long retryAfterMillis(ResultCode code, UpstreamSearch search) {
        long untilAdmissionNanos =
                code == ResultCode.NO_CAPACITY ? upstreams.untilAdmissionNanos(search.criteria()) : 0;
        return RetryAfterRule.delayMillis(
                code, search.route(), untilAdmissionNanos, search.context().requestId());
    }

    @Override
    public long notReadyRetryAfterMillis(String requestId, long usualMillis) {
        return usualMillis;
    }
}
