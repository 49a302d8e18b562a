package org.turmericspan.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.admission.WaitRefusal;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.forwarding.ForwardingMetrics;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.metrics.MetricsText;

/** Metrics of an entry node: counters, latencies and gauges. */
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

    @Override
    public void noticed(NoticeKind kind) {
        registry.meter("upstream_notices_" + kind.name().toLowerCase(Locale.ROOT))
                .mark();
    }

    @Override
    public void waitBegan(ServiceId service) {
        registry.counter("waiting_" + service).inc();
    }

    @Override
    public void waitEnded(ServiceId service, long waitedNanos) {
        registry.counter("waiting_" + service).dec();
        registry.timer("waited_" + service).update(waitedNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void waitRefused(ServiceId service, WaitRefusal.Reason reason) {
        registry.meter("wait_refused_" + service + "_" + reason.name().toLowerCase(Locale.ROOT))
                .mark();
    }

    /** Registers a gauge, which is read each time the metrics are requested. */
    void registerGauge(String name, Gauge<? extends Number> gauge) {
        registry.gauge(name, () -> gauge);
    }

    String text() {
        return MetricsText.format(registry);
    }
}
