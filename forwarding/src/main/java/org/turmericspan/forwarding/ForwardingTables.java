package org.turmericspan.forwarding;

import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.balancing.WeightedRoundRobin;
import org.turmericspan.balancing.WindowedRetryBudget;
import org.turmericspan.zones.RequestObserver;

/**
 * Shared tables that determine whether a request is served, and by which upstream.
 *
 * @param configuration the active configuration
 * @param access decides which callers are served
 * @param upstreams observed states of the upstreams
 * @param roundRobin distributes the requests of a route over its services
 * @param retryBudget limits retries and hedged requests
 * @param suspects request fingerprints suspected of crashing upstreams
 * @param observer measures the demand of the callers of this node
 * @param waits decides how requests wait for an upstream
 */
public record ForwardingTables(
        ConfigurationHolder configuration,
        CallerAccess access,
        UpstreamTable upstreams,
        WeightedRoundRobin roundRobin,
        WindowedRetryBudget retryBudget,
        CrashSuspects suspects,
        RequestObserver observer,
        UpstreamWaits waits) {
    /**
     * Creates the tables of a node that measures no demand and has no waiting room.
     *
     * @param configuration the active configuration
     * @param access decides which callers are served
     * @param upstreams observed states of the upstreams
     * @param roundRobin distributes the requests of a route over its services
     * @param retryBudget limits retries and hedged requests
     * @param suspects request fingerprints suspected of crashing upstreams
     */
    public ForwardingTables(
            ConfigurationHolder configuration,
            CallerAccess access,
            UpstreamTable upstreams,
            WeightedRoundRobin roundRobin,
            WindowedRetryBudget retryBudget,
            CrashSuspects suspects) {
        this(
                configuration,
                access,
                upstreams,
                roundRobin,
                retryBudget,
                suspects,
                RequestObserver.none(),
                new PollingWaits(upstreams));
    }
}
