package org.turmericspan.zones;

import java.util.ArrayList;
import java.util.List;

/** Range of the values seen by a sampler. */
final class Samples {
    private final List<Double> values = new ArrayList<>();

    void add(double value) {
        values.add(value);
    }

    double swing() {
        return max() - min();
    }

    double max() {
        return values.stream().mapToDouble(value -> value).max().orElseThrow();
    }

    double min() {
        return values.stream().mapToDouble(value -> value).min().orElseThrow();
    }

    double mean() {
        return values.stream().mapToDouble(value -> value).average().orElseThrow();
    }
}
