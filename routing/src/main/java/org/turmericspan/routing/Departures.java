package org.turmericspan.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.Incarnation;
import org.turmericspan.ids.UpstreamId;
import org.turmericspan.ids.VmId;

/**
 * Remembers keepers that went without a handover, for as long as requests under their leases may still run. A node that
 * asks whether an upstream is free is told so only after that.
 */
final class Departures {
    private final Map<VmId, Incarnation> incarnations = new HashMap<>();
    private final Map<UpstreamId, Long> untilNanos = new HashMap<>();

    /** Notes the life of a node; a new life means that the one before went. */
    void seen(VmId peer, Incarnation incarnation, OwnershipMap map, long nowNanos) {
        Incarnation before = incarnations.put(peer, incarnation);
        if (before != null && !before.equals(incarnation)) {
            mark(peer, map, Duration.ZERO, nowNanos);
        }
    }

    /** Notes which nodes are no longer in the list. */
    void listChanged(OwnershipMap before, OwnershipMap after, Duration viewLagBound, long nowNanos) {
        before.view().entryVms().forEach(vm -> {
            if (!after.view().vms().containsKey(vm.id())) {
                mark(vm.id(), before, viewLagBound, nowNanos);
                incarnations.remove(vm.id());
            }
        });
        untilNanos.values().removeIf(until -> nowNanos >= until);
    }

    /** Tells whether a request under a lease of a keeper that went may still run. */
    boolean mayRun(UpstreamId upstream, long nowNanos) {
        Long until = untilNanos.get(upstream);
        return until != null && nowNanos < until;
    }

    private void mark(VmId gone, OwnershipMap map, Duration extra, long nowNanos) {
        map.owners().forEach((upstream, keeper) -> {
            if (keeper.equals(gone)) {
                long until = nowNanos
                        + extra.plus(longestLease(map.configuration(), upstream))
                                .toNanos();
                untilNanos.merge(upstream, until, Math::max);
            }
        });
    }

    private static Duration longestLease(Configuration configuration, UpstreamId id) {
        Upstream upstream = configuration.upstreams().get(id);
        return configuration.services().get(upstream.service()).longestLease();
    }
}
