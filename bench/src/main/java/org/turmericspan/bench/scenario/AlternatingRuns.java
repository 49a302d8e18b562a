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

/** Runs the same load on one fleet a policy, in turns, so that what else the machine does falls on all alike. */
final class AlternatingRuns {
    private static final int ROUNDS = 4;

    private AlternatingRuns() {}

    /** Runs the rounds and sums the results by policy. */
    static Map<String, LoadResult> run(
            BenchSettings settings,
            List<PolicyFleet> fleets,
            double ratePerSecond,
            Duration work,
            Disturbance disturbance) {
        Map<String, LoadResult> sums = new LinkedHashMap<>();
        fleets.forEach(fleet -> sums.put(fleet.policy(), new LoadResult()));
        fleets.forEach(fleet -> fleet.warmUp(ratePerSecond, work));
        Duration turn = settings.duration().dividedBy(ROUNDS);
        for (int round = 0; round < ROUNDS; round++) {
            LoadPlan plan = LoadPlan.lookups(PolicyFleet.SERVICE, ratePerSecond, turn, work, settings.seed() + round);
            for (PolicyFleet fleet : fleets) {
                try (AutoCloseableQuietly ignored = disturbance.start(fleet, settings.seed() + round)) {
                    sums.get(fleet.policy()).add(OpenLoop.run(plan, fleet.caller()));
                }
            }
        }
        return sums;
    }

    /** Starts one fleet a policy. */
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

    /** Disturbs a fleet while a turn runs. */
    @FunctionalInterface
    interface Disturbance {
        /** Disturbance that does nothing. */
        Disturbance NONE = (fleet, seed) -> () -> {};

        /** Starts to disturb; closing the returned handle ends it. */
        AutoCloseableQuietly start(PolicyFleet fleet, long seed);
    }

    /** Handle whose closing throws nothing checked. */
    @FunctionalInterface
    interface AutoCloseableQuietly extends AutoCloseable {
        @Override
        void close();
    }
}
