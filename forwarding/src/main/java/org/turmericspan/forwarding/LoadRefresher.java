package org.turmericspan.forwarding;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.turmericspan.balancing.Registration;
import org.turmericspan.balancing.SelectionCriteria;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.ids.UpstreamId;

/**
 * Refreshes the load reports of upstreams before an action of a request that depends on them, so that they are at most
 * a few milliseconds old. All methods run on the worker of the request.
 */
final class LoadRefresher {
    private final UpstreamTable upstreams;
    private final LoadProber loadProber;
    private final ScheduledExecutorService worker;

    LoadRefresher(UpstreamTable upstreams, LoadProber loadProber, ScheduledExecutorService worker) {
        this.upstreams = upstreams;
        this.loadProber = loadProber;
        this.worker = worker;
    }

    /** Runs an action once the best candidates have reported their load, or after the timeout. */
    void refreshCandidates(SelectionCriteria criteria, long timeoutNanos, Runnable action) {
        Collection<Registration> candidates = upstreams.candidatesToProbe(criteria);
        if (candidates.isEmpty()) {
            action.run();
        } else {
            new PendingRefresh(
                            candidates.size(),
                            () -> upstreams.candidatesToProbe(criteria).isEmpty(),
                            action)
                    .start(candidates, timeoutNanos);
        }
    }

    /** Runs an action once an upstream has reported its load, or after the timeout. */
    void refresh(UpstreamId upstream, long timeoutNanos, Runnable action) {
        upstreams
                .registration(upstream)
                .filter(registration -> upstreams.mayProbe(upstream))
                .ifPresentOrElse(
                        registration ->
                                new PendingRefresh(1, () -> false, action).start(List.of(registration), timeoutNanos),
                        action);
    }

    /** Requests the load of an upstream for later choices, without waiting for it. */
    void refreshInBackground(UpstreamId upstream) {
        upstreams
                .registration(upstream)
                .filter(registration -> upstreams.mayProbe(upstream))
                .ifPresent(registration -> loadProber.probe(registration, () -> {}));
    }

    /** Runs the action once, when no further probe result is needed or after the timeout. */
    private final class PendingRefresh {
        private final BooleanSupplier isSufficient;
        private final Runnable action;
        private ScheduledFuture<?> timeout;
        private int pendingProbes;
        private boolean finished;

        PendingRefresh(int pendingProbes, BooleanSupplier isSufficient, Runnable action) {
            this.pendingProbes = pendingProbes;
            this.isSufficient = isSufficient;
            this.action = action;
        }

        void start(Collection<Registration> candidates, long timeoutNanos) {
            timeout = worker.schedule(this::finish, timeoutNanos, TimeUnit.NANOSECONDS);
            candidates.forEach(upstream -> loadProber.probe(upstream, () -> worker.execute(this::probeCompleted)));
        }

        private void probeCompleted() {
            pendingProbes--;
            if (!finished && (pendingProbes == 0 || isSufficient.getAsBoolean())) {
                finish();
            }
        }

        private void finish() {
            if (!finished) {
                finished = true;
                timeout.cancel(false);
                action.run();
            }
        }
    }
}
