package org.turmericspan.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.turmericspan.ids.ServiceId;

/** Tests the accuracy and the decay of latency quantiles. */
final class LatencyTableTest {
    private static final ServiceId SERVICE = new ServiceId("ordering");

    private final LatencyTable table = new LatencyTable();

    @Test
    void quantileIsUnknownWithFewSamples() {
        table.record(SERVICE, Duration.ofMillis(1));

        assertThat(table.quantile(0.5).quantileNanos(SERVICE)).isEmpty();
    }

    @Test
    void quantileIsAccurateToOneEighth() {
        for (int i = 1; i <= 1_000; i++) {
            table.record(SERVICE, Duration.ofMillis(i));
        }

        assertThat(table.quantile(0.95).quantileNanos(SERVICE).orElseThrow())
                .isCloseTo(Duration.ofMillis(950).toNanos(), Percentage.withPercentage(13));
    }

    @Test
    void oldSamplesDecay() {
        for (int i = 0; i < 2_000; i++) {
            table.record(SERVICE, Duration.ofMillis(1));
        }
        for (int i = 0; i < 12_000; i++) {
            table.record(SERVICE, Duration.ofMillis(100));
        }

        assertThat(table.quantile(0.05).quantileNanos(SERVICE).orElseThrow())
                .isGreaterThan(Duration.ofMillis(90).toNanos());
    }
}
