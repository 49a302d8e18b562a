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
public final class WeightedRotation {
    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final Map<List<Backend>, double[]> credits = new HashMap<>();
    private final RandomGenerator random;

    /**
     * Creates a rotation.
     *
     * @param random draws the start
     */
    public WeightedRotation(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses the backend of the next request of a route.
     *
     * @param route the route
     * @return service of the chosen backend
     */
    public ServiceId next(Route route) {
        List<Backend> backends = route.backends();
        if (backends.size() == 1) {
            return backends.get(0).service();
        }
        return lock.compute(() -> advance(backends, credits.computeIfAbsent(backends, this::start)));
    }

    private double[] start(List<Backend> backends) {
        return backends.stream()
                .mapToDouble(backend -> random.nextDouble() * backend.weight())
                .toArray();
    }

    private static ServiceId advance(List<Backend> backends, double[] credit) {
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
