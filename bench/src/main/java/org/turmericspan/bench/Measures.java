package org.turmericspan.bench;

import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.turmericspan.bench.load.CallOutcome;
import org.turmericspan.bench.load.LoadResult;

/** Measured values of one policy in one scenario. A measure that was not taken is absent. */
public final class Measures {
    private static final double P50 = 50.0;
    private static final double P99 = 99.0;
    private static final double P999 = 99.9;

    private final Map<Measure, Double> values = new EnumMap<>(Measure.class);

    /**
     * Sets a measure.
     *
     * @param measure the measured quantity
     * @param value the value in the unit of the measure
     */
    public void put(Measure measure, double value) {
        values.put(measure, value);
    }

    /**
     * Sets the latencies and outcomes of a request stream.
     *
     * @param result the result of the stream
     */
    public void put(LoadResult result) {
        put(Measure.P50_US, result.micros(P50));
        put(Measure.P99_US, result.micros(P99));
        put(Measure.P999_US, result.micros(P999));
        put(Measure.SERVED, result.count(CallOutcome.SERVED));
        put(Measure.REFUSED, result.count(CallOutcome.REFUSED));
        put(Measure.FAILED, result.count(CallOutcome.FAILED));
        put(Measure.UNKNOWN, result.count(CallOutcome.UNKNOWN));
        put(Measure.CROSSED_ANSWERS, result.count(CallOutcome.CROSSED));
        put(Measure.SHORT_ANSWERS, result.count(CallOutcome.SHORT));
    }

    /**
     * Returns a measure.
     *
     * @param measure the measured quantity
     * @return its value, or empty when it was not taken
     */
    public OptionalDouble get(Measure measure) {
        Double value = values.get(measure);
        return value == null ? OptionalDouble.empty() : OptionalDouble.of(value);
    }

    /**
     * Returns all measures taken.
     *
     * @return values by measure, in the order of the enum
     */
    public Map<Measure, Double> values() {
        return new EnumMap<>(values);
    }
}
