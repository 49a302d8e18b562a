package org.turmericspan.forwarding;

import org.turmericspan.balancing.ConfigurationHolder;
import org.turmericspan.balancing.CrashSuspects;
import org.turmericspan.balancing.RepeatWindow;
import org.turmericspan.balancing.UpstreamTable;
import org.turmericspan.balancing.WeightedRotation;

/**
 * Shared tables that decide where a request goes.
 *
 * @param configuration the configuration in force
 * @param upstreams beliefs about upstreams
 * @param rotation spreads requests over backends
 * @param repeats budget of repeats
 * @param suspects requests that took upstreams down
 */
public record ForwardingTables(
        ConfigurationHolder configuration,
        UpstreamTable upstreams,
        WeightedRotation rotation,
        RepeatWindow repeats,
        CrashSuspects suspects) {}
