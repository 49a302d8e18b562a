package org.turmericspan.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Formats metrics in the Prometheus text format: families sorted by name, each with HELP, TYPE and its samples. */
public final class MetricsText {
    private static final String PREFIX = "turmericspan_";
    private static final List<Double> QUANTILES = List.of(0.5, 0.9, 0.99, 0.999);

    private final TreeMap<String, String> families = new TreeMap<>();

    private MetricsText() {}

    /**
     * Formats all metrics of a registry. Gauges whose value is not a number are left out.
     *
     * @param metrics the registry
     * @return the text of a scrape response
     */
    public static String format(MetricRegistry metrics) {
        MetricsText text = new MetricsText();
        metrics.getGauges().forEach((name, gauge) -> text.addGauge(name, gauge.getValue()));
        metrics.getCounters().forEach((name, counter) -> text.addSample(name, "gauge", counter.getCount()));
        metrics.getMeters().forEach((name, meter) -> text.addSample(name + "_total", "counter", meter.getCount()));
        metrics.getHistograms().forEach((name, histogram) -> text.addSummary(name, histogram, histogram.getCount(), 1));
        metrics.getTimers()
                .forEach((name, timer) ->
                        text.addSummary(name + "_seconds", timer, timer.getCount(), TimeUnit.SECONDS.toNanos(1)));
        return String.join("", text.families.values());
    }

    private void addGauge(String name, Object value) {
        if (value instanceof Number number) {
            addSample(name, "gauge", number);
        }
    }

    private void addSample(String name, String type, Number value) {
        String family = familyName(name);
        addFamily(family, name, type, family + " " + value + "\n");
    }

    private void addSummary(String name, Sampling sampling, long count, double divisor) {
        String family = familyName(name);
        Snapshot snapshot = sampling.getSnapshot();
        StringBuilder samples = new StringBuilder();
        for (double quantile : QUANTILES) {
            samples.append(family).append("{quantile=\"").append(quantile).append("\"} ");
            samples.append(snapshot.getValue(quantile) / divisor).append('\n');
        }
        samples.append(family).append("_count ").append(count).append('\n');
        addFamily(family, name, "summary", samples.toString());
    }

    /** Adds a metric family. If two metric names map to the same family name, the first is kept. */
    private void addFamily(String family, String name, String type, String samples) {
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
