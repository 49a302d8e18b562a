package org.turmericspan.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Latency histograms of consecutive short time spans. */
public final class Timeline {
    /** Length of one time span. */
    public static final Duration SPAN = Duration.ofMillis(250);

    private static final double P99 = 99.0;
    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final int SIGNIFICANT_DIGITS = 2;

    private final Map<Long, Histogram> spans = new TreeMap<>();

    synchronized void add(long dueOffsetNanos, long micros) {
        spans.computeIfAbsent(dueOffsetNanos / SPAN.toNanos(), span -> new Histogram(SIGNIFICANT_DIGITS))
                .recordValue(micros);
    }

    /**
     * Returns the 99th percentile of latency in each time span.
     *
     * @return points in chronological order
     */
    public synchronized List<Point> p99() {
        List<Point> points = new ArrayList<>();
        spans.forEach((span, histogram) -> points.add(new Point(
                span * SPAN.toMillis() / MILLIS_PER_SECOND, histogram.getValueAtPercentile(P99) / MILLIS_PER_SECOND)));
        return points;
    }

    /**
     * Returns a percentile of the requests that were due in a part of the stream.
     *
     * @param from start of the part
     * @param to end of the part
     * @param percentile 0 to 100
     * @return latency in microseconds; 0 when none was due
     */
    public synchronized long micros(Duration from, Duration to, double percentile) {
        Histogram sum = new Histogram(SIGNIFICANT_DIGITS);
        spans.forEach((span, histogram) -> {
            if (span >= from.toNanos() / SPAN.toNanos() && span < to.toNanos() / SPAN.toNanos()) {
                sum.add(histogram);
            }
        });
        return sum.getValueAtPercentile(percentile);
    }

    /**
     * One point of the timeline.
     *
     * @param seconds time from the start of the stream
     * @param millis latency in milliseconds
     */
    public record Point(double seconds, double millis) {}
}
