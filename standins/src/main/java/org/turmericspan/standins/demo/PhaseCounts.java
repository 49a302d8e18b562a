package org.turmericspan.standins.demo;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Results that callers saw for one kind of request during one phase. A success is printed as ANSWERED. */
final class PhaseCounts {
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(1);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double P99_PERCENTILE = 99;
    private static final double MICROS_PER_MILLI = 1_000;

    private final Histogram latencyMicros = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private long sent;
    private long succeeded;
    private long refused;

    synchronized void recordSuccess(long latencyNanos) {
        sent++;
        succeeded++;
        latencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, TimeUnit.NANOSECONDS.toMicros(latencyNanos)));
    }

    synchronized void recordRefusal() {
        sent++;
        refused++;
    }

    synchronized void recordFailure() {
        sent++;
    }

    synchronized long sent() {
        return sent;
    }

    synchronized long succeeded() {
        return succeeded;
    }

    synchronized long refused() {
        return refused;
    }

    synchronized long failed() {
        return sent - succeeded - refused;
    }

    synchronized double medianMillis() {
        return latencyMicros.getValueAtPercentile(MEDIAN_PERCENTILE) / MICROS_PER_MILLI;
    }

    synchronized double p99Millis() {
        return latencyMicros.getValueAtPercentile(P99_PERCENTILE) / MICROS_PER_MILLI;
    }
}
