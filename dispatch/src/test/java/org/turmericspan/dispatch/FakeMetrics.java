package org.turmericspan.dispatch;

import java.time.Duration;
import org.turmericspan.ids.ServiceId;

/** Counts nothing. */
final class FakeMetrics implements AttemptMetrics {
    @Override
    public void call(ServiceId service) {}

    @Override
    public void answer(ServiceId service, Duration elapsed) {}

    @Override
    public void repeat() {}

    @Override
    public void decided(Duration waited) {}
}
