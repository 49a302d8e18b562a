package org.turmericspan.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.tables.LockRank;
import org.turmericspan.tables.RankedLock;

/** Recent latencies of whole answers, per service. */
public final class LatencyTable {
    private final RankedLock lock = new RankedLock(LockRank.BUDGETS);
    private final Map<ServiceId, LatencyWindow> windows = new HashMap<>();

    /**
     * Takes in one whole answer.
     *
     * @param service service called
     * @param elapsed from the first byte sent to the whole answer
     */
    public void record(ServiceId service, Duration elapsed) {
        long nanos = elapsed.toNanos();
        lock.run(() ->
                windows.computeIfAbsent(service, key -> new LatencyWindow()).record(nanos));
    }

    /**
     * Builds a source of one quantile.
     *
     * @param quantile between 0 and 1
     * @return the source
     */
    public LatencyQuantile quantile(double quantile) {
        return service -> lock.compute(() -> {
            LatencyWindow window = windows.get(service);
            return window == null ? OptionalLong.empty() : window.quantileNanos(quantile);
        });
    }
}
