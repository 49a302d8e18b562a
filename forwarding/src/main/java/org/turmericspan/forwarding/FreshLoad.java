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
 * Lets a step of a request wait until the load it decides on is a few milliseconds old. All of it runs on the worker of
 * the request.
 */
final class FreshLoad {
    private final UpstreamTable upstreams;
    private final LoadProber loadProber;
    private final ScheduledExecutorService worker;

    FreshLoad(UpstreamTable upstreams, LoadProber loadProber, ScheduledExecutorService worker) {
        this.upstreams = upstreams;
        this.loadProber = loadProber;
        this.worker = worker;
    }

    /** Runs a step when the best candidates have said what they bear, or the limit has passed. */
    void beforeChoice(SelectionCriteria criteria, long limitNanos, Runnable step) {
        Collection<Registration> asked = upstreams.candidatesToProbe(criteria);
        if (asked.isEmpty()) {
            step.run();
        } else {
            new Wait(asked.size(), () -> upstreams.candidatesToProbe(criteria).isEmpty(), step).ask(asked, limitNanos);
        }
    }

    /** Runs a step when an upstream has said how it does, or the limit has passed. */
    void of(UpstreamId upstream, long limitNanos, Runnable step) {
        upstreams
                .registration(upstream)
                .ifPresentOrElse(
                        registered -> new Wait(1, () -> false, step).ask(List.of(registered), limitNanos), step);
    }

    /** Asks an upstream how it does, for later choices. */
    void renew(UpstreamId upstream) {
        upstreams.registration(upstream).ifPresent(registered -> loadProber.probe(registered, () -> {}));
    }

    private final class Wait {
        private final BooleanSupplier enough;
        private final Runnable step;
        private ScheduledFuture<?> limit;
        private int pending;
        private boolean over;

        Wait(int pending, BooleanSupplier enough, Runnable step) {
            this.pending = pending;
            this.enough = enough;
            this.step = step;
        }

        void ask(Collection<Registration> asked, long limitNanos) {
            limit = worker.schedule(this::finish, limitNanos, TimeUnit.NANOSECONDS);
            asked.forEach(upstream -> loadProber.probe(upstream, () -> worker.execute(this::answered)));
        }

        private void answered() {
            pending--;
            if (!over && (pending == 0 || enough.getAsBoolean())) {
                finish();
            }
        }

        private void finish() {
            if (!over) {
                over = true;
                limit.cancel(false);
                step.run();
            }
        }
    }
}
