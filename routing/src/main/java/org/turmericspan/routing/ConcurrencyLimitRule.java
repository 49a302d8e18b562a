package org.turmericspan.routing;

import org.turmericspan.config.Service;

/** Decides how many requests an upstream may hold at a time. */
@FunctionalInterface
public interface ConcurrencyLimitRule {
    /**
     * Limits an upstream by its phase: the configured number of requests when cold, the slots that its slow start has
     * opened so far when ramping, and when warm all slots plus the configured extra depth, which is the number of
     * requests that it may hold beyond its slots. The limit is 0 in the other phases.
     */
    ConcurrencyLimitRule BY_PHASE = (phase, allowance, service) -> switch (phase) {
        case COLD -> service.coldRequests();
        case RAMPING -> allowance;
        case WARM -> service.slotsPerUpstream() + service.extraDepth();
        case RESTING, LEAVING, OUT -> 0;
    };

    /** Gives every upstream whose slots may be granted the limit of a warm one. */
    ConcurrencyLimitRule ALWAYS_WARM =
            (phase, allowance, service) -> phase.isGranting() ? service.slotsPerUpstream() + service.extraDepth() : 0;

    /**
     * Returns the concurrency limit of an upstream.
     *
     * @param phase warm-up phase of the upstream
     * @param allowance slots that its slow start has opened so far, at least the configured number for a cold upstream
     * @param service limits of its service
     * @return number of requests, 0 when it must not get any
     */
    int limit(Phase phase, int allowance, Service service);
}
