package org.turmericspan.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.caps.CapDecision;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.forwarding.ForwardingMetrics;
import org.turmericspan.http.ResponseFaults;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.TenantId;
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

    /** Counts a decision on the cap of a tenant, by the names of the configuration only. */
    void capDecided(TenantId tenant, CapDecision.Outcome outcome) {
        registry.meter("cap_" + outcome.name().toLowerCase(Locale.ROOT) + "_" + tenant)
                .mark();
    }

    /** Registers gauges of the faults found in responses. */
    void registerFaults(ResponseFaults faults) {
        registerGauge("responses_skipped", faults::skippedResponses);
        registerGauge("responses_with_bytes_after", faults::bytesAfterResponses);
        registerGauge("responses_held", faults::heldBodies);
        registerGauge("connections_with_unexpected_bytes", faults::bytesOutsideCalls);
        registerGauge("response_heads_spliced", faults::splicedHeads);
        registerGauge("response_bodies_spliced", faults::splicedBodies);
    }

    /** Registers a gauge, which is read each time the metrics are requested. */
    void registerGauge(String name, Gauge<? extends Number> gauge) {
        registry.gauge(name, () -> gauge);
    }

    String text() {
        return MetricsText.format(registry);
    }
}
