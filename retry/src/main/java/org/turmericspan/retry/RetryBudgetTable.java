package org.turmericspan.retry;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/**
 * Token buckets, one per service. Each call adds the configured fraction of a token; each retry or hedge takes one
 * token.
 */
public final class RetryBudgetTable implements RetryBudget {
    private static final int HUNDREDTHS_PER_TOKEN = 100;
    /** Capacity of a bucket, which limits a burst of retries and hedges. */
    private static final int MAX_TOKENS = 10;

    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final Map<ServiceId, Bucket> buckets = new HashMap<>();
    private final RetryBudgetPercent budgetPercent;

    /**
     * Creates a table with empty buckets, so that retries and hedges never exceed the configured percentage of
     * the calls.
     *
     * @param budgetPercent configured budget of each service
     */
    public RetryBudgetTable(RetryBudgetPercent budgetPercent) {
        this.budgetPercent = budgetPercent;
    }

    /**
     * Records one call, which refills the bucket of its service by the configured fraction of a token.
     *
     * @param service service called
     */
    public void recordCall(ServiceId service) {
        int percent = budgetPercent.percent(service);
        lock.run(() -> bucket(service).refill(percent));
    }

    @Override
    public boolean tryAcquire(ServiceId service) {
        return lock.compute(() -> bucket(service).tryAcquire());
    }

    /**
     * Returns the state of each bucket that was used so far, for a state dump.
     *
     * @return one state per service, ordered by name
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
     * State of the retry budget of one service.
     *
     * @param service the service
     * @param calls calls recorded
     * @param admitted retries and hedges admitted
     * @param rejected retries and hedges rejected because the budget was exhausted
     * @param available tokens available
     */
    public record BudgetState(ServiceId service, long calls, long admitted, long rejected, double available) {}

    private static final class Bucket {
        private long tokenHundredths;
        private long calls;
        private long admitted;
        private long rejected;

        void refill(int percent) {
            calls++;
            tokenHundredths = Math.min(tokenHundredths + percent, (long) MAX_TOKENS * HUNDREDTHS_PER_TOKEN);
        }

        boolean tryAcquire() {
            if (tokenHundredths < HUNDREDTHS_PER_TOKEN) {
                rejected++;
                return false;
            }
            tokenHundredths -= HUNDREDTHS_PER_TOKEN;
            admitted++;
            return true;
        }

        BudgetState describe(ServiceId service) {
            return new BudgetState(service, calls, admitted, rejected, (double) tokenHundredths / HUNDREDTHS_PER_TOKEN);
        }
    }
}
