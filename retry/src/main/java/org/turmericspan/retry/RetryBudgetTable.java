package org.turmericspan.retry;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Token buckets of the services: each call earns the agreed share of a repeat, each repeat spends a whole one. */
public final class RetryBudgetTable implements RetryBudget {
    private static final int PERCENT = 100;
    private static final int MAX_SAVED_REPEATS = 10;

    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final Map<ServiceId, Bucket> buckets = new HashMap<>();
    private final RetryShare share;

    /**
     * Creates a table without savings, so that repeats never exceed their share of the calls seen.
     *
     * @param share what the operators allow
     */
    public RetryBudgetTable(RetryShare share) {
        this.share = share;
    }

    /**
     * Counts one call, which earns its share of a repeat.
     *
     * @param service service called
     */
    public void recordCall(ServiceId service) {
        int percent = share.percent(service);
        lock.run(() -> bucket(service).earn(percent));
    }

    @Override
    public boolean tryAcquire(ServiceId service) {
        return lock.compute(() -> bucket(service).tryAcquire());
    }

    /**
     * Describes the buckets.
     *
     * @return state of each service, in the order of their names
     */
    public List<BudgetState> dump() {
        return lock.compute(() -> buckets.entrySet().stream()
                .map(entry -> entry.getValue().describe(entry.getKey()))
                .sorted(Comparator.comparing(BudgetState::service))
                .toList());
    }

    private Bucket bucket(ServiceId service) {
        return buckets.computeIfAbsent(service, key -> new Bucket());
    }

    /**
     * State of one budget.
     *
     * @param service its service
     * @param calls calls counted
     * @param admitted repeats made
     * @param rejected repeats refused because the budget was used up
     * @param available repeats that could be made now
     */
    public record BudgetState(ServiceId service, long calls, long admitted, long rejected, double available) {}

    private static final class Bucket {
        private long savedPercent;
        private long calls;
        private long spent;
        private long refused;

        void earn(int percent) {
            calls++;
            savedPercent = Math.min(savedPercent + percent, (long) MAX_SAVED_REPEATS * PERCENT);
        }

        boolean tryAcquire() {
            if (savedPercent < PERCENT) {
                refused++;
                return false;
            }
            savedPercent -= PERCENT;
            spent++;
            return true;
        }

        BudgetState describe(ServiceId service) {
            return new BudgetState(service, calls, spent, refused, (double) savedPercent / PERCENT);
        }
    }
}
