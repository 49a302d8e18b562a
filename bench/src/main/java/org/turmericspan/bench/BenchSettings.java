package org.turmericspan.bench;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * Settings of one run.
 *
 * @param scenario name of the scenario
 * @param duration length of the measured load
 * @param seed makes load and faults the same in every run
 * @param nodes number of nodes
 * @param upstreams number of upstreams
 * @param policies slot policies to compare
 * @param preset sizes and latencies of a deployment
 * @param out folder of the results
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
    /** Copies the list. */
    public BenchSettings {
        policies = List.copyOf(policies);
    }
}
