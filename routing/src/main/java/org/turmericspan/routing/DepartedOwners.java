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
 * Tracks owners that departed without a handover, for as long as requests under their leases may still run. Until then,
 * this node reports the upstream as possibly in use to a node that queries its leases.
 */
final class DepartedOwners {
    private final Map<VmId, Incarnation> incarnations = new HashMap<>();
    private final Map<UpstreamId, Long> mayRunUntilNanos = new HashMap<>();

    /** Records the incarnation of a node; a new incarnation means that the previous one has ended. */
    void recordIncarnation(VmId peer, Incarnation incarnation, OwnershipMap ownershipMap, long nowNanos) {
        Incarnation previous = incarnations.put(peer, incarnation);
        if (previous != null && !previous.equals(incarnation)) {
            recordDeparture(peer, ownershipMap, Duration.ZERO, nowNanos);
        }
    }

    /** Records the owners that the new VM list no longer contains, and drops entries whose time has passed. */
    void onOwnershipChanged(OwnershipMap previous, OwnershipMap current, Duration viewLagBound, long nowNanos) {
        previous.view().entryVms().forEach(vm -> {
            if (!current.view().vms().containsKey(vm.id())) {
                recordDeparture(vm.id(), previous, viewLagBound, nowNanos);
                incarnations.remove(vm.id());
            }
        });
        mayRunUntilNanos.values().removeIf(untilNanos -> nowNanos >= untilNanos);
    }

    /** Returns whether a request under a lease of a departed owner may still run. */
    boolean mayHaveRunningRequests(UpstreamId upstream, long nowNanos) {
        Long untilNanos = mayRunUntilNanos.get(upstream);
        return untilNanos != null && nowNanos < untilNanos;
    }

    private void recordDeparture(VmId departed, OwnershipMap ownershipMap, Duration viewLagBound, long nowNanos) {
        ownershipMap.owners().forEach((upstream, owner) -> {
            if (owner.equals(departed)) {
                long untilNanos = nowNanos
                        + viewLagBound
                                .plus(longestLease(ownershipMap.configuration(), upstream))
                                .toNanos();
                mayRunUntilNanos.merge(upstream, untilNanos, Math::max);
            }
        });
    }

    private static Duration longestLease(Configuration configuration, UpstreamId id) {
        Upstream upstream = configuration.upstreams().get(id);
        return configuration.services().get(upstream.service()).longestLease();
    }
}
