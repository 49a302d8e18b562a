package org.turmericspan.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against output that a Prometheus server cannot parse or that changes its order between scrapes. */
final class MetricsTextTest {
    @Test
    void numericMetricsAreWrittenAsFamiliesSortedByName() {
        MetricRegistry metrics = new MetricRegistry();
        metrics.registerGauge("peers.live", () -> 3);
        metrics.registerGauge("text", () -> "not a number");
        metrics.meter("calls.not-run").mark(2);
        metrics.timer("calls").update(Duration.ofMillis(250));

        assertThat(MetricsText.format(metrics).lines())
                .containsExactly(
                        "# HELP turmericspan_calls_not_run_total Metric calls.not-run_total.",
                        "# TYPE turmericspan_calls_not_run_total counter",
                        "turmericspan_calls_not_run_total 2",
                        "# HELP turmericspan_calls_seconds Metric calls_seconds.",
                        "# TYPE turmericspan_calls_seconds summary",
                        "turmericspan_calls_seconds{quantile=\"0.5\"} 0.25",
                        "turmericspan_calls_seconds{quantile=\"0.9\"} 0.25",
                        "turmericspan_calls_seconds{quantile=\"0.99\"} 0.25",
                        "turmericspan_calls_seconds{quantile=\"0.999\"} 0.25",
                        "turmericspan_calls_seconds_count 1",
                        "# HELP turmericspan_peers_live Metric peers.live.",
                        "# TYPE turmericspan_peers_live gauge",
                        "turmericspan_peers_live 3");
    }
}
