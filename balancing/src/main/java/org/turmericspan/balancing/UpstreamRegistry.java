package org.turmericspan.balancing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.turmericspan.ids.UpstreamId;

/** The registered upstreams by identifier, by hash, and by service and zone. Guarded by the lock of the table. */
final class UpstreamRegistry {
    private final Map<UpstreamId, TrackedUpstream> upstreams = new HashMap<>();
    private final Map<Long, UpstreamId> idsByHash = new HashMap<>();
    private final ServingStates servingStates = new ServingStates();
    private final UpstreamIndex index;

    UpstreamRegistry(UpstreamIndex index) {
        this.index = index;
    }

    /** Adds or updates a registration; returns whether it is new, or differs in more than its warm-up time. */
    boolean register(Registration registration) {
        TrackedUpstream upstream = upstreams.get(registration.id());
        if (upstream == null) {
            TrackedUpstream added = new TrackedUpstream(registration, servingStates.of(registration));
            upstreams.put(registration.id(), added);
            index.add(added);
            idsByHash.put(added.hash(), registration.id());
            return true;
        }
        Registration old = upstream.registration();
        boolean isMoved = !old.service().equals(registration.service())
                || !old.availabilityZone().equals(registration.availabilityZone());
        if (isMoved) {
            index.remove(upstream);
        }
        upstream.register(registration);
        if (isMoved) {
            index.add(upstream);
        }
        return !registration.equalsIgnoringWarmUp(old);
    }

    /** Removes an upstream; returns whether it was registered. */
    boolean remove(UpstreamId id) {
        TrackedUpstream removed = upstreams.remove(id);
        if (removed != null) {
            idsByHash.remove(removed.hash());
            index.remove(removed);
        }
        return removed != null;
    }

    /** Applies a notice of an upstream; returns whether it has begun to leave, or to pause. */
    boolean apply(TrackedUpstream upstream, ServingNotice notice, long nowNanos) {
        return servingStates.apply(upstream, notice, nowNanos);
    }

    /** Returns an upstream; null when it is not registered. */
    TrackedUpstream get(UpstreamId id) {
        return upstreams.get(id);
    }

    /** Returns the upstream with a hash; null when none is registered. */
    TrackedUpstream withHash(long hash) {
        UpstreamId id = idsByHash.get(hash);
        return id == null ? null : upstreams.get(id);
    }

    Collection<TrackedUpstream> all() {
        return upstreams.values();
    }
}
