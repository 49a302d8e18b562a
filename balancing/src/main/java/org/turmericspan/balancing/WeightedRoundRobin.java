package org.turmericspan.balancing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Distributes the requests of each route over its services by smooth weighted round robin, which keeps every share to
 * within one request on each node. The initial weights are random, so that nodes start with different services.
 */
public final class WeightedRoundRobin {
    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final Map<List<WeightedService>, double[]> currentWeights = new HashMap<>();
    private final RandomGenerator random;

    /**
     * Creates a round robin that has not selected a service yet.
     *
     * @param random draws the initial weights
     */
    public WeightedRoundRobin(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Selects the service of the next request of a route.
     *
     * @param route the route
     * @return one of the services of the route
     */
    public ServiceId next(Route route) {
        List<WeightedService> services = route.services();
        if (services.size() == 1) {
            return services.get(0).service();
        }
        return lock.compute(() -> advance(services, currentWeights.computeIfAbsent(services, this::initialWeights)));
    }

    private double[] initialWeights(List<WeightedService> services) {
        return services.stream()
                .mapToDouble(weightedService -> random.nextDouble() * weightedService.weight())
                .toArray();
    }

    /** Adds to each weight, selects the highest and subtracts the total from it, so that the sum stays the same. */
    private static ServiceId advance(List<WeightedService> services, double[] weights) {
        int best = 0;
        double total = 0;
        for (int i = 0; i < weights.length; i++) {
            weights[i] += services.get(i).weight();
            total += services.get(i).weight();
            if (weights[i] > weights[best]) {
                best = i;
            }
        }
        weights[best] -= total;
        return services.get(best).service();
    }
}
