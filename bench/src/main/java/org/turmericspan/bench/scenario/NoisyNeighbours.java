package org.turmericspan.bench.scenario;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.turmericspan.standins.fleet.FleetUpstream;

/** Slows single upstreams down for moments, as neighbours on the same machine do. */
final class NoisyNeighbours implements AlternatingRuns.AutoCloseableQuietly {
    private static final Duration PAUSE = Duration.ofMillis(10);
    private static final int FACTOR = 5;
    private static final int SHORTEST_MILLIS = 20;
    private static final int LONGEST_MILLIS = 120;
    private static final double SLOW_SHARE = 0.1;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final PolicyFleet fleet;
    private final Random random;
    private final List<FleetUpstream> upstreams;

    private NoisyNeighbours(PolicyFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
        this.upstreams = fleet.fleet().upstreams();
    }

    static NoisyNeighbours start(PolicyFleet fleet, long seed) {
        NoisyNeighbours neighbours = new NoisyNeighbours(fleet, seed);
        neighbours.timer.scheduleAtFixedRate(neighbours::disturb, 0, PAUSE.toMillis(), TimeUnit.MILLISECONDS);
        return neighbours;
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    /** Slows on average so many upstreams that the stated share of them is slow at any moment. */
    private void disturb() {
        double average = (SHORTEST_MILLIS + LONGEST_MILLIS) / 2.0;
        double chance = SLOW_SHARE * upstreams.size() * PAUSE.toMillis() / average;
        if (random.nextDouble() >= chance) {
            return;
        }
        FleetUpstream upstream = upstreams.get(random.nextInt(upstreams.size()));
        int millis = SHORTEST_MILLIS + random.nextInt(LONGEST_MILLIS - SHORTEST_MILLIS);
        fleet.fleet()
                .http()
                .post(fleet.fleet().upstreamControlUrl() + "/control/slow?port=" + upstream.port() + "&factor=" + FACTOR
                        + "&ms=" + millis);
    }
}
