package org.turmericspan.front;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;

/** Writes metrics as text, one sample a line, in the usual form for scraping. */
final class MetricsText {
    private static final double P99 = 0.99;

    private MetricsText() {}

    static String format(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        metrics.getGauges().forEach((name, gauge) -> sample(text, name, "", gauge.getValue()));
        metrics.getCounters().forEach((name, counter) -> sample(text, name, "", counter.getCount()));
        metrics.getMeters().forEach((name, meter) -> sample(text, name + "_total", "", meter.getCount()));
        metrics.getTimers().forEach((name, timer) -> timer(text, name, timer));
        return text.toString();
    }

    private static void timer(StringBuilder text, String name, Timer timer) {
        Snapshot snapshot = timer.getSnapshot();
        sample(text, name + "_count", "", timer.getCount());
        sample(text, name + "_seconds", "{quantile=\"0.5\"}", seconds(snapshot.getMedian()));
        sample(text, name + "_seconds", "{quantile=\"0.99\"}", seconds(snapshot.getValue(P99)));
    }

    private static double seconds(double nanos) {
        return nanos / TimeUnit.SECONDS.toNanos(1);
    }

    private static void sample(StringBuilder text, String name, String labels, Object value) {
        text.append("turmericspan_").append(name.replace('.', '_').replace('-', '_'));
        text.append(labels).append(' ').append(value).append('\n');
    }
}
