package org.turmericspan.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.admission.WaitRefusal;
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
    private final Map<String, Supplier<? extends Map<String, ? extends Number>>> gaugesByPrefix =
            new ConcurrentHashMap<>();

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

    /**
     * Registers gauges whose names depend on the state of the node.
     *
     * @param prefix start of the name of each gauge
     * @param values returns the values by the ends of the names
     */
    void registerGauges(String prefix, Supplier<? extends Map<String, ? extends Number>> values) {
        gaugesByPrefix.put(prefix, values);
    }

    String text() {
        gaugesByPrefix.forEach((prefix, values) -> values.get()
                .keySet()
                .forEach(name ->
                        registry.gauge(prefix + name, () -> () -> values.get().get(name))));
        return MetricsText.format(registry);
    }
}
