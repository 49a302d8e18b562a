package org.turmericspan.bench.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.turmericspan.bench.BenchSettings;
import org.turmericspan.bench.load.LoadPlan;
import org.turmericspan.bench.load.LoadResult;
import org.turmericspan.bench.load.OpenLoop;

/** Runs the same load on one fleet per policy in alternation, so that other load on the machine affects all alike. */
final class AlternatingRuns {
    private static final int ROUNDS = 4;

    private AlternatingRuns() {}

    /** Runs all rounds and returns the summed results by policy. */
    static Map<String, LoadResult> run(
            BenchSettings settings,
            List<PolicyFleet> fleets,
            double ratePerSecond,
            Duration work,
            Disturbance disturbance) {
        Map<String, LoadResult> sums = new LinkedHashMap<>();
        fleets.forEach(fleet -> sums.put(fleet.policy(), new LoadResult()));
        fleets.forEach(fleet -> fleet.warmUp(ratePerSecond, work));
        Duration roundDuration = settings.duration().dividedBy(ROUNDS);
        for (int round = 0; round < ROUNDS; round++) {
            LoadPlan plan =
                    LoadPlan.lookups(PolicyFleet.SERVICE, ratePerSecond, roundDuration, work, settings.seed() + round);
            for (PolicyFleet fleet : fleets) {
                try (UncheckedCloseable ignored = disturbance.start(fleet, settings.seed() + round)) {
                    sums.get(fleet.policy()).add(OpenLoop.run(plan, fleet.caller()));
                }
            }
        }
        return sums;
    }

    /** Starts one fleet per policy. */
    static List<PolicyFleet> start(BenchSettings settings) {
        List<PolicyFleet> fleets = new ArrayList<>();
        try {
            settings.policies().forEach(policy -> fleets.add(PolicyFleet.start(settings, policy)));
            return fleets;
        } catch (RuntimeException e) {
            fleets.forEach(PolicyFleet::close);
            throw e;
        }
    }

    /** Disturbs a fleet during one run of the load. */
    @FunctionalInterface
    interface Disturbance {
        /** Disturbance that does nothing. */
        Disturbance NONE = (fleet, seed) -> () -> {};

        /** Starts the disturbance; closing the returned handle ends it. */
        UncheckedCloseable start(PolicyFleet fleet, long seed);
    }

    /** Handle whose {@code close} throws no checked exception. */
    @FunctionalInterface
    interface UncheckedCloseable extends AutoCloseable {
        @Override
        void close();
    }
}
