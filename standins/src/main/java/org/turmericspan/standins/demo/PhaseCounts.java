package org.turmericspan.standins.demo;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** What callers saw during one phase, for one kind of request. */
final class PhaseCounts {
    private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(1);
    private static final int DIGITS = 3;
    private static final double MEDIAN = 50;
    private static final double P99 = 99;
    private static final double MICROS_PER_MILLI = 1_000;

    private final Histogram latencyMicros = new Histogram(LONGEST_MICROS, DIGITS);
    private long sent;
    private long answered;
    private long refused;

    synchronized void answer(long nanos) {
        sent++;
        answered++;
        latencyMicros.recordValue(Math.min(LONGEST_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
    }

    synchronized void refuse() {
        sent++;
        refused++;
    }

    synchronized void fail() {
        sent++;
    }

    synchronized long sent() {
        return sent;
    }

    synchronized long answered() {
        return answered;
    }

    synchronized long refused() {
        return refused;
    }

    synchronized long failed() {
        return sent - answered - refused;
    }

    synchronized double medianMillis() {
        return latencyMicros.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI;
    }

    synchronized double p99Millis() {
        return latencyMicros.getValueAtPercentile(P99) / MICROS_PER_MILLI;
    }
}
