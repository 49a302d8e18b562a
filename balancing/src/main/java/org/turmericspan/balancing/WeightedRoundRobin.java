package org.turmericspan.balancing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Spreads the requests of each route over its backends by smooth weighted round robin, so that every share is kept to
 * within one request on each node. The start is drawn, so that nodes do not all begin with the same backend.
 */
public final class WeightedRoundRobin {
    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final Map<List<WeightedService>, double[]> credits = new HashMap<>();
    private final RandomGenerator random;

    /**
     * Creates a rotation.
     *
     * @param random draws the start
     */
    public WeightedRoundRobin(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses the backend of the next request of a route.
     *
     * @param route the route
     * @return service of the chosen backend
     */
    public ServiceId next(Route route) {
        List<WeightedService> services = route.services();
        if (services.size() == 1) {
            return services.get(0).service();
        }
        return lock.compute(() -> advance(services, credits.computeIfAbsent(services, this::start)));
    }

    private double[] start(List<WeightedService> backends) {
        return backends.stream()
                .mapToDouble(weightedService -> random.nextDouble() * weightedService.weight())
                .toArray();
    }

    private static ServiceId advance(List<WeightedService> backends, double[] credit) {
        int best = 0;
        double total = 0;
        for (int i = 0; i < credit.length; i++) {
            credit[i] += backends.get(i).weight();
            total += backends.get(i).weight();
            if (credit[i] > credit[best]) {
                best = i;
            }
        }
        credit[best] -= total;
        return backends.get(best).service();
    }
}
