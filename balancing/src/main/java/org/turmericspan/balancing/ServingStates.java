package org.turmericspan.balancing;

import java.util.LinkedHashMap;
import java.util.Map;
import org.turmericspan.ids.UpstreamId;

/**
 * Serving states of the upstreams that gave notice. They outlive a registration, since the entry of an upstream may
 * disappear and return while it is still leaving or paused. Guarded by the lock of the upstream table.
 */
final class ServingStates {
    private static final int MAX_STATES = 4_096;

    private final Map<UpstreamId, ServingState> states = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamId, ServingState> eldest) {
            return size() > MAX_STATES;
        }
    };

    /** Returns the state of the incarnation that is registered; a new one if it gave no notice. */
    ServingState of(Registration registration) {
        ServingState known = states.get(registration.id());
        return known != null && known.startedMillis() == registration.startedMillis()
                ? known
                : new ServingState(registration.startedMillis());
    }

    /** Applies a notice of a registered upstream; returns whether anything changed. */
    boolean apply(TrackedUpstream upstream, ServingNotice notice, long nowNanos) {
        boolean isChanged = upstream.serving().apply(notice, nowNanos);
        if (isChanged) {
            states.put(upstream.registration().id(), upstream.serving());
        }
        return isChanged;
    }
}
