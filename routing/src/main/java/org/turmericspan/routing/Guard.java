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
 * Upstreams that rest because their keeper is new and nobody handed them over. The rest ends after the longest lag of
 * the list and the longest lease, or once every other listed node has answered that it holds nothing of the upstream.
 */
final class Guard {
    private static final Duration QUERY_PAUSE = Duration.ofMillis(200);

    private final Map<UpstreamId, Rest> rests = new HashMap<>();

    /** Begins a rest. */
    void begin(UpstreamId upstream, long untilNanos, Collection<VmId> others) {
        rests.put(upstream, new Rest(untilNanos, new HashSet<>(others)));
    }

    /** Forgets a rest. */
    void cancel(UpstreamId upstream) {
        rests.remove(upstream);
    }

    /** Notes which of the upstreams asked for a node does not hold. */
    void answered(VmId from, List<UpstreamId> asked, List<UpstreamId> held) {
        for (UpstreamId upstream : asked) {
            Rest rest = rests.get(upstream);
            if (rest != null && !held.contains(upstream)) {
                rest.awaited.remove(from);
            }
        }
    }

    /** Removes and returns the upstreams whose rest is over. */
    List<UpstreamId> takeEnded(long nowNanos) {
        if (rests.isEmpty()) {
            return List.of();
        }
        List<UpstreamId> ended = new ArrayList<>();
        rests.forEach((upstream, rest) -> {
            if (rest.awaited.isEmpty() || nowNanos >= rest.untilNanos) {
                ended.add(upstream);
            }
        });
        ended.forEach(rests::remove);
        return ended;
    }

    /** Returns the queries that are due, one for each node. */
    Map<VmId, List<UpstreamId>> dueQueries(long nowNanos) {
        Map<VmId, List<UpstreamId>> due = new TreeMap<>();
        rests.forEach((upstream, rest) -> {
            if (nowNanos >= rest.nextQueryNanos) {
                rest.nextQueryNanos = nowNanos + QUERY_PAUSE.toNanos();
                rest.awaited.forEach(
                        vm -> due.computeIfAbsent(vm, key -> new ArrayList<>()).add(upstream));
            }
        });
        return due;
    }

    private static final class Rest {
        private final long untilNanos;
        private final Set<VmId> awaited;
        private long nextQueryNanos = Long.MIN_VALUE;

        Rest(long untilNanos, Set<VmId> awaited) {
            this.untilNanos = untilNanos;
            this.awaited = awaited;
        }
    }
}
