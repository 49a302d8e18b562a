package org.turmericspan.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Recent latencies of complete responses, per service. */
public final class LatencyTable {
    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final Map<ServiceId, LatencyHistogram> histograms = new HashMap<>();

    /**
     * Records the latency of one complete response.
     *
     * @param service service called
     * @param elapsed time from the first byte sent to the complete response
     */
    public void record(ServiceId service, Duration elapsed) {
        long nanos = elapsed.toNanos();
        lock.run(() -> histograms
                .computeIfAbsent(service, key -> new LatencyHistogram())
                .record(nanos));
    }

    /**
     * Returns an estimator of one quantile.
     *
     * @param quantile the quantile, between 0 and 1; 0.95 is the latency that 95 percent of the responses do not exceed
     * @return the estimator, which reflects later samples too
     */
    public LatencyQuantile quantile(double quantile) {
        return service -> lock.compute(() -> {
            LatencyHistogram histogram = histograms.get(service);
            return histogram == null ? OptionalLong.empty() : histogram.quantileNanos(quantile);
        });
    }
}
