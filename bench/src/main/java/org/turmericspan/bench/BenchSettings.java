package org.turmericspan.bench;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * Settings of one experiment run.
 *
 * @param scenario name of the scenario
 * @param duration length of the measured load
 * @param seed seed of the random load and faults; equal seeds give equal load and faults
 * @param nodes number of nodes
 * @param upstreams number of upstreams
 * @param policies slot policies to compare
 * @param preset sizes and latencies of the modelled deployment
 * @param out directory to which the results are written
 */
public record BenchSettings(
        String scenario,
        Duration duration,
        long seed,
        int nodes,
        int upstreams,
        List<String> policies,
        Preset preset,
        Path out) {
    /** Copies the list of policies. */
    public BenchSettings {
        policies = List.copyOf(policies);
    }
}
