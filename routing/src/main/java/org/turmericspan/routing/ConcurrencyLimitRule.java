package org.turmericspan.routing;

import org.turmericspan.config.Service;

/** Decides how many requests an upstream may hold at a time. */
@FunctionalInterface
public interface ConcurrencyLimitRule {
    /**
     * Allows a cold upstream its configured cold requests, a ramping one its allowance, and a warm one its slots and
     * the extra depth.
     */
    ConcurrencyLimitRule BY_PHASE = (phase, allowance, service) -> switch (phase) {
        case COLD -> service.coldRequests();
        case RAMPING -> allowance;
        case WARM -> service.slotsPerUpstream() + service.extraDepth();
        case RESTING, LEAVING, OUT -> 0;
    };

    /** Treats every upstream that may be granted as warm. */
    ConcurrencyLimitRule ALWAYS_WARM =
            (phase, allowance, service) -> phase.isGranting() ? service.slotsPerUpstream() + service.extraDepth() : 0;

    /**
     * Returns the concurrency limit of an upstream.
     *
     * @param phase state of the upstream
     * @param allowance slots it has gained so far
     * @param service limits of its service
     * @return the limit
     */
    int limit(Phase phase, int allowance, Service service);
}
