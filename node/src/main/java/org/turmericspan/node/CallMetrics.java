package org.turmericspan.node;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;
import org.turmericspan.dispatch.AttemptMetrics;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.retry.LatencyTable;
import org.turmericspan.retry.RetryBudgetTable;

/**
 * Records calls in the metrics, the retry budgets and the latency table. The meter {@code repeats} counts retries and
 * hedges.
 */
final class CallMetrics implements AttemptMetrics {
    private final RetryBudgetTable budgets;
    private final LatencyTable latencies;
    private final Meter calls;
    private final Meter extraAttempts;
    private final Timer responses;
    private final Timer slotWaits;

    CallMetrics(MetricRegistry metrics, RetryBudgetTable budgets, LatencyTable latencies) {
        this.budgets = budgets;
        this.latencies = latencies;
        this.calls = metrics.meter("calls");
        this.extraAttempts = metrics.meter("repeats");
        this.responses = metrics.timer("upstream.answers");
        this.slotWaits = metrics.timer("slot.waits");
    }

    @Override
    public void recordCall(ServiceId service) {
        calls.mark();
        budgets.recordCall(service);
    }

    @Override
    public void recordResponse(ServiceId service, Duration elapsed) {
        responses.update(elapsed);
        latencies.record(service, elapsed);
    }

    @Override
    public void recordExtraAttempt() {
        extraAttempts.mark();
    }

    @Override
    public void recordSlotWait(Duration waited) {
        slotWaits.update(waited);
    }
}
