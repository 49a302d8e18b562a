package org.turmericspan.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Writes metrics in the text form that scrapers read: a HELP and a TYPE line, then the samples, ordered by name. */
public final class MetricsText {
    private static final String PREFIX = "turmericspan_";
    private static final List<Double> QUANTILES = List.of(0.5, 0.9, 0.99, 0.999);

    private final TreeMap<String, String> families = new TreeMap<>();

    private MetricsText() {}

    /**
     * Writes all metrics of a registry.
     *
     * @param metrics the registry
     * @return the text
     */
    public static String format(MetricRegistry metrics) {
        MetricsText text = new MetricsText();
        metrics.getGauges().forEach((name, gauge) -> text.gauge(name, gauge.getValue()));
        metrics.getCounters().forEach((name, counter) -> text.single(name, "gauge", counter.getCount()));
        metrics.getMeters().forEach((name, meter) -> text.single(name + "_total", "counter", meter.getCount()));
        metrics.getHistograms().forEach((name, histogram) -> text.summary(name, histogram, histogram.getCount(), 1));
        metrics.getTimers()
                .forEach((name, timer) ->
                        text.summary(name + "_seconds", timer, timer.getCount(), TimeUnit.SECONDS.toNanos(1)));
        return String.join("", text.families.values());
    }

    private void gauge(String name, Object value) {
        if (value instanceof Number number) {
            single(name, "gauge", number);
        }
    }

    private void single(String name, String type, Number value) {
        String family = familyName(name);
        put(family, name, type, family + " " + value + "\n");
    }

    private void summary(String name, Sampling sampling, long count, double unit) {
        String family = familyName(name);
        Snapshot snapshot = sampling.getSnapshot();
        StringBuilder samples = new StringBuilder();
        for (double quantile : QUANTILES) {
            samples.append(family).append("{quantile=\"").append(quantile).append("\"} ");
            samples.append(snapshot.getValue(quantile) / unit).append('\n');
        }
        samples.append(family).append("_count ").append(count).append('\n');
        put(family, name, "summary", samples.toString());
    }

    /** Adds a family of samples; of two names that are spelled alike the first is kept. */
    private void put(String family, String name, String type, String samples) {
        families.putIfAbsent(
                family,
                "# HELP " + family + " Metric " + escape(name) + ".\n# TYPE " + family + " " + type + "\n" + samples);
    }

    private static String escape(String help) {
        return help.replace("\\", "\\\\").replace("\n", "\\n");
    }

    private static String familyName(String name) {
        StringBuilder family = new StringBuilder(PREFIX);
        for (int i = 0; i < name.length(); i++) {
            char character = name.charAt(i);
            boolean isAllowed = character >= 'a' && character <= 'z'
                    || character >= 'A' && character <= 'Z'
                    || character >= '0' && character <= '9';
            family.append(isAllowed ? character : '_');
        }
        return family.toString();
    }
}
