package org.turmericspan.node;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;
import org.turmericspan.dispatch.AttemptMetrics;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.retry.LatencyTable;
import org.turmericspan.retry.RetryBudgetTable;

/** Counts calls into the metrics, the budgets of repeats and the recent latencies. */
final class CallMetrics implements AttemptMetrics {
    private final RetryBudgetTable budgets;
    private final LatencyTable latencies;
    private final Meter calls;
    private final Meter repeats;
    private final Timer answers;
    private final Timer slotWaits;

    CallMetrics(MetricRegistry metrics, RetryBudgetTable budgets, LatencyTable latencies) {
        this.budgets = budgets;
        this.latencies = latencies;
        this.calls = metrics.meter("calls");
        this.repeats = metrics.meter("repeats");
        this.answers = metrics.timer("upstream.answers");
        this.slotWaits = metrics.timer("slot.waits");
    }

    @Override
    public void recordCall(ServiceId service) {
        calls.mark();
        budgets.recordCall(service);
    }

    @Override
    public void recordResponse(ServiceId service, Duration elapsed) {
        answers.update(elapsed);
        latencies.record(service, elapsed);
    }

    @Override
    public void recordExtraAttempt() {
        repeats.mark();
    }

    @Override
    public void recordSlotWait(Duration waited) {
        slotWaits.update(waited);
    }
}
