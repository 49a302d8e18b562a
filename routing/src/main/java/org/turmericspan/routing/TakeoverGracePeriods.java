package org.turmericspan.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;

/**
 * Upstreams in the takeover grace period, because their owner is new and received no handover. The period ends after
 * the view lag bound plus the longest lease, or once every other listed node has reported that it holds no lease on the
 * upstream.
 */
final class TakeoverGracePeriods {
    private static final Duration QUERY_INTERVAL = Duration.ofMillis(200);

    private final Map<UpstreamId, GracePeriod> gracePeriods = new HashMap<>();

    /** Begins a grace period, which ends early once all the other nodes have reported that they hold no lease. */
    void begin(UpstreamId upstream, long untilNanos, Collection<VmId> otherNodes) {
        gracePeriods.put(upstream, new GracePeriod(untilNanos, new HashSet<>(otherNodes)));
    }

    /** Cancels the grace period of an upstream that was handed over or has another owner now, if there is one. */
    void cancel(UpstreamId upstream) {
        gracePeriods.remove(upstream);
    }

    /** Records that a node holds no lease on those of the queried upstreams that it did not report. */
    void recordReport(VmId from, List<UpstreamId> queried, List<UpstreamId> held) {
        for (UpstreamId upstream : queried) {
            GracePeriod gracePeriod = gracePeriods.get(upstream);
            if (gracePeriod != null && !held.contains(upstream)) {
                gracePeriod.possibleLeaseHolders.remove(from);
            }
        }
    }

    /** Removes and returns the upstreams whose grace period is over. */
    List<UpstreamId> removeEnded(long nowNanos) {
        if (gracePeriods.isEmpty()) {
            return List.of();
        }
        List<UpstreamId> ended = new ArrayList<>();
        gracePeriods.forEach((upstream, gracePeriod) -> {
            if (gracePeriod.possibleLeaseHolders.isEmpty() || nowNanos >= gracePeriod.untilNanos) {
                ended.add(upstream);
            }
        });
        ended.forEach(gracePeriods::remove);
        return ended;
    }

    /** Returns the lease queries that are due, one for each node. */
    Map<VmId, List<UpstreamId>> dueQueries(long nowNanos) {
        Map<VmId, List<UpstreamId>> due = new TreeMap<>();
        gracePeriods.forEach((upstream, gracePeriod) -> {
            if (nowNanos >= gracePeriod.nextQueryNanos) {
                gracePeriod.nextQueryNanos = nowNanos + QUERY_INTERVAL.toNanos();
                gracePeriod.possibleLeaseHolders.forEach(
                        vm -> due.computeIfAbsent(vm, key -> new ArrayList<>()).add(upstream));
            }
        });
        return due;
    }

    private static final class GracePeriod {
        private final long untilNanos;
        private final Set<VmId> possibleLeaseHolders;
        private long nextQueryNanos = Long.MIN_VALUE;

        GracePeriod(long untilNanos, Set<VmId> possibleLeaseHolders) {
            this.untilNanos = untilNanos;
            this.possibleLeaseHolders = possibleLeaseHolders;
        }
    }
}
