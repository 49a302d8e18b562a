package org.turmericspan.balancing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Decides which upstreams a node probes periodically. The load patterns are a fleet that starts at once, whose nodes
 * would together probe each upstream many times, and steady requests, whose responses show the load already. Used under
 * the lock of the upstream table.
 */
final class ProbeTargets {
    /** Upstreams of each service in the local zone that a starting node probes; the choice prefers the same ones. */
    private static final int MAX_PROBED_AT_START = 6;

    private final UpstreamSelector selector;
    private final UpstreamIndex index;
    private final long nowNanos;

    ProbeTargets(UpstreamSelector selector, UpstreamIndex index, long nowNanos) {
        this.selector = selector;
        this.index = index;
        this.nowNanos = nowNanos;
    }

    /** Lists the targets; the parameters are those of {@link UpstreamTable#probeTargets}. */
    List<Registration> select(
            Collection<TrackedUpstream> upstreams, boolean starting, long maxAgeNanos, long maxHealthAgeNanos) {
        List<Registration> targets = new ArrayList<>();
        for (TrackedUpstream upstream : upstreams) {
            Registration registration = upstream.registration();
            boolean isObserved = nowNanos - upstream.locallyObservedNanos() < maxAgeNanos
                    && nowNanos - upstream.probedNanos() < maxHealthAgeNanos;
            if (!registration.draining()
                    && upstream.serving().takesRequests(nowNanos)
                    && !isObserved
                    && (starting ? isPreferredAtStart(upstream) : selector.owns(registration))) {
                targets.add(registration);
            }
        }
        return targets;
    }

    /** Returns whether as many local upstreams were observed lately as half of those that a starting node probes. */
    boolean isStartSufficient(Collection<TrackedUpstream> upstreams) {
        int probed = 0;
        int observed = 0;
        for (TrackedUpstream upstream : upstreams) {
            if (selector.isLocal(upstream.registration())) {
                probed += isPreferredAtStart(upstream) ? 1 : 0;
                observed += UpstreamSelector.isFresh(upstream, nowNanos) ? 1 : 0;
            }
        }
        return 2 * observed >= probed;
    }

    /** Returns whether an upstream is one of the few of its service in the local zone that this node prefers. */
    private boolean isPreferredAtStart(TrackedUpstream upstream) {
        if (!selector.isLocal(upstream.registration())) {
            return false;
        }
        double tieBreak = selector.tieBreak(upstream);
        int preferred = 0;
        for (TrackedUpstream other : index.of(upstream.registration().service()).local()) {
            preferred += selector.tieBreak(other) < tieBreak ? 1 : 0;
        }
        return preferred < MAX_PROBED_AT_START;
    }
}
