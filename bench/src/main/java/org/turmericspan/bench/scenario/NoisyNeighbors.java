package org.turmericspan.bench.scenario;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.turmericspan.standins.fleet.FleetUpstream;

/** Slows single upstreams down for short times, as noisy neighbors on the same machine do. */
final class NoisyNeighbors implements AlternatingRuns.UncheckedCloseable {
    private static final Duration INTERVAL = Duration.ofMillis(10);
    private static final int SLOWDOWN_FACTOR = 5;
    private static final int MIN_SLOW_MILLIS = 20;
    private static final int MAX_SLOW_MILLIS = 120;
    private static final double SLOW_SHARE = 0.1;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final PolicyFleet fleet;
    private final Random random;
    private final List<FleetUpstream> upstreams;

    private NoisyNeighbors(PolicyFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
        this.upstreams = fleet.fleet().upstreams();
    }

    static NoisyNeighbors start(PolicyFleet fleet, long seed) {
        NoisyNeighbors neighbors = new NoisyNeighbors(fleet, seed);
        neighbors.timer.scheduleAtFixedRate(neighbors::disturb, 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        return neighbors;
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    /** Slows upstreams down at random, so that on average {@code SLOW_SHARE} of them is slow at any time. */
    private void disturb() {
        double averageMillis = (MIN_SLOW_MILLIS + MAX_SLOW_MILLIS) / 2.0;
        double probability = SLOW_SHARE * upstreams.size() * INTERVAL.toMillis() / averageMillis;
        if (random.nextDouble() >= probability) {
            return;
        }
        FleetUpstream upstream = upstreams.get(random.nextInt(upstreams.size()));
        int millis = MIN_SLOW_MILLIS + random.nextInt(MAX_SLOW_MILLIS - MIN_SLOW_MILLIS);
        fleet.fleet()
                .http()
                .post(fleet.fleet().upstreamControlUrl() + "/control/slow?port=" + upstream.port() + "&factor="
                        + SLOWDOWN_FACTOR + "&ms=" + millis);
    }
}
