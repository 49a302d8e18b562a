package org.turmericspan.entry;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.forwarding.ForwardingOutcomes;
import org.turmericspan.forwarding.UpstreamProber;
import org.turmericspan.gossip.MemberTable;
import org.turmericspan.http.HttpClient;
import org.turmericspan.platform.StoreFeed;

/** Counters and latencies of an entry node, in the text form that scrapers read. */
@Singleton
final class EntryMetrics implements ForwardingOutcomes {
    private static final double[] QUANTILES = {0.5, 0.9, 0.99};
    private static final String PREFIX = "turmericspan_";

    private final MetricRegistry registry = new MetricRegistry();

    @Inject
    EntryMetrics() {}

    @Override
    public void answered(int status, long latencyNanos) {
        registry.counter("answers_" + status).inc();
        registry.histogram("answer_microseconds").update(TimeUnit.NANOSECONDS.toMicros(latencyNanos));
    }

    @Override
    public void attempted(AttemptKind kind) {
        registry.counter("attempts_" + kind.name().toLowerCase(Locale.ROOT)).inc();
    }

    String text(StoreFeed feed, UpstreamProber prober, HttpClient client, MemberTable members) {
        StringBuilder text = new StringBuilder();
        line(text, "store_calls", feed.calls());
        line(text, "probes", prober.sent());
        line(text, "connections_opened", client.opened());
        line(text, "members_alive", members.alive().size());
        line(
                text,
                "memory_used_bytes",
                Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        registry.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
        registry.getHistograms().forEach((name, histogram) -> {
            Snapshot snapshot = histogram.getSnapshot();
            for (double quantile : QUANTILES) {
                line(text, name + "{quantile=\"" + quantile + "\"}", (long) snapshot.getValue(quantile));
            }
        });
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }
}
