package org.turmericspan.dispatch;

import java.time.Duration;
import org.turmericspan.ids.ServiceId;

/** Discards all metrics. */
final class FakeMetrics implements AttemptMetrics {
    @Override
    public void recordCall(ServiceId service) {}

    @Override
    public void recordResponse(ServiceId service, Duration elapsed) {}

    @Override
    public void recordExtraAttempt() {}

    @Override
    public void recordSlotWait(Duration waited) {}
}
