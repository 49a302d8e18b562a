package org.turmericspan.balancing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.turmericspan.ids.AvailabilityZoneId;

/**
 * Counts the room of a service in the local zone: the slots of the upstreams that take requests now, fewer for those
 * that are slowed or fail. Upstreams that drain, leave, pause or are cold, and those of an evacuated zone, have none.
 * Guarded by the lock of the upstream table.
 */
final class ZoneRoom {
    /** Smallest part of the upstreams that must have a fresh observation. */
    private static final double MIN_OBSERVED_PART = 0.5;

    private final Set<AvailabilityZoneId> evacuatedZones;
    private final double meanSlowdown;
    private final long nowNanos;

    ZoneRoom(Set<AvailabilityZoneId> evacuatedZones, double meanSlowdown, long nowNanos) {
        this.evacuatedZones = evacuatedZones;
        this.meanSlowdown = meanSlowdown;
        this.nowNanos = nowNanos;
    }

    /**
     * Returns the room of upstreams of the local zone; those without a fresh observation count as the mean of the
     * others. Empty while this node has observed too few of them, for example after its start.
     */
    Optional<Double> slots(List<TrackedUpstream> upstreams) {
        int candidates = 0;
        int observed = 0;
        double slots = 0;
        for (TrackedUpstream upstream : upstreams) {
            if (isCandidate(upstream)) {
                candidates++;
                if (UpstreamSelector.isFresh(upstream, nowNanos)) {
                    observed++;
                    slots += slots(upstream);
                }
            }
        }
        if (candidates == 0) {
            return Optional.of(0.0);
        }
        return observed < MIN_OBSERVED_PART * candidates
                ? Optional.empty()
                : Optional.of(slots * candidates / observed);
    }

    private boolean isCandidate(TrackedUpstream upstream) {
        Registration registration = upstream.registration();
        return !registration.draining()
                && !evacuatedZones.contains(registration.availabilityZone())
                && upstream.serving().takesRequests(nowNanos)
                && !upstream.isCold(nowNanos);
    }

    private double slots(TrackedUpstream upstream) {
        if (!upstream.observation().reachable() || upstream.isInBackoff(nowNanos)) {
            return 0;
        }
        return upstream.registration().slots()
                * (1 - upstream.worstFailureRate(nowNanos))
                / Math.max(1, UpstreamCost.slowdown(upstream, meanSlowdown, nowNanos));
    }
}
