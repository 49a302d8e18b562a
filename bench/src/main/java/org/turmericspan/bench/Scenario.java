package org.turmericspan.bench;

/** One experiment over real processes. */
@FunctionalInterface
public interface Scenario {
    /**
     * Runs the experiment.
     *
     * @param settings settings of the run
     * @return the measured values and checked bounds
     */
    Report run(BenchSettings settings);
}
