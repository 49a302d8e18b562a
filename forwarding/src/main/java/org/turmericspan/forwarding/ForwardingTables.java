package org.turmericspan.forwarding;

import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.balancing.WeightedRoundRobin;
import org.turmericspan.balancing.WindowedRetryBudget;

/**
 * Shared tables that decide where a request goes.
 *
 * @param configuration the configuration in force
 * @param upstreams beliefs about upstreams
 * @param roundRobin spreads requests over backends
 * @param retryBudget budget of repeats
 * @param suspects requests that took upstreams down
 */
public record ForwardingTables(
        ConfigurationHolder configuration,
        UpstreamTable upstreams,
        WeightedRoundRobin roundRobin,
        WindowedRetryBudget retryBudget,
        CrashSuspects suspects) {}
