package org.turmericspan.bench.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Latencies and outcomes of one stream of requests. Latency is measured from the time a request was due. */
public final class LoadResult {
    private static final long HIGHEST_MICROS = 120_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram servedMicros = new Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS);
    private final Map<CallOutcome, Long> outcomes = new EnumMap<>(CallOutcome.class);
    private final Map<Integer, Long> codes = new TreeMap<>();
    private final Timeline timeline = new Timeline();

    /**
     * Adds the result of one request.
     *
     * @param callResult the result
     * @param dueOffsetNanos time at which the request was due, from the start of the stream
     * @param latencyNanos time from then until the request ended
     */
    public synchronized void add(RequestResult callResult, long dueOffsetNanos, long latencyNanos) {
        outcomes.merge(callResult.outcome(), 1L, Long::sum);
        if (callResult.code() != 0) {
            codes.merge(callResult.code(), 1L, Long::sum);
        }
        if (callResult.outcome() == CallOutcome.SERVED) {
            long micros = Math.min(TimeUnit.NANOSECONDS.toMicros(latencyNanos), HIGHEST_MICROS);
            servedMicros.recordValue(micros);
            timeline.add(dueOffsetNanos, micros);
        }
    }

    /**
     * Adds outcomes, codes and latencies of another result, without its timeline.
     *
     * @param other a result that no longer changes
     */
    public synchronized void add(LoadResult other) {
        servedMicros.add(other.servedMicros);
        other.outcomes.forEach((outcome, count) -> outcomes.merge(outcome, count, Long::sum));
        other.codes.forEach((code, count) -> codes.merge(code, count, Long::sum));
    }

    /**
     * Counts the requests with one outcome.
     *
     * @param outcome the outcome
     * @return number of requests
     */
    public synchronized long count(CallOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    /**
     * Counts all requests.
     *
     * @return number of requests that ended
     */
    public synchronized long total() {
        return outcomes.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Returns a latency percentile of the served requests.
     *
     * @param percentile 0 to 100
     * @return latency in microseconds
     */
    public synchronized long micros(double percentile) {
        return servedMicros.getValueAtPercentile(percentile);
    }

    /**
     * Counts the refusals by numbered code.
     *
     * @return count by code
     */
    public synchronized Map<Integer, Long> codes() {
        return new TreeMap<>(codes);
    }

    /**
     * Returns the latencies over time.
     *
     * @return the timeline
     */
    public Timeline timeline() {
        return timeline;
    }
}
