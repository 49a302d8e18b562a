package org.turmericspan.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.forwarding.ForwardingMetrics;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.metrics.MetricsText;

/** Counters and latencies of an entry node. */
@Singleton
final class EntryMetrics implements ForwardingMetrics {
    private final MetricRegistry registry = new MetricRegistry();

    @Inject
    EntryMetrics() {}

    @Override
    public void answered(ServiceId service, int status, long latencyNanos) {
        registry.meter("answers_" + status).mark();
        registry.timer("answer_" + service).update(latencyNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void refused(ResultCode code) {
        registry.meter("refused_" + code.number()).mark();
    }

    @Override
    public void attempted(AttemptKind kind, long ageNanos) {
        registry.meter("attempts_" + kind.name().toLowerCase(Locale.ROOT)).mark();
        registry.timer("choice_age").update(ageNanos, TimeUnit.NANOSECONDS);
    }

    /** Adds a figure that is read when the metrics are asked for. */
    void watch(String name, Gauge<? extends Number> figure) {
        registry.gauge(name, () -> figure);
    }

    String text() {
        return MetricsText.format(registry);
    }
}
