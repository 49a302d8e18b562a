package org.turmericspan.retry;

import java.util.OptionalLong;

/**
 * Histogram of recent latencies with buckets an eighth apart. Old samples fade: whenever the window is full, every
 * count is halved.
 */
final class LatencyWindow {
    private static final int SUB_BITS = 3;
    private static final int SUB_BUCKETS = 1 << SUB_BITS;
    private static final int BUCKETS = (Long.SIZE - SUB_BITS) * SUB_BUCKETS;
    private static final int WINDOW = 2_000;
    private static final int MIN_SAMPLES = 100;

    private final int[] counts = new int[BUCKETS];
    private int total;

    void record(long nanos) {
        if (total >= WINDOW) {
            fade();
        }
        counts[bucket(Math.max(0, nanos))]++;
        total++;
    }

    OptionalLong quantileNanos(double quantile) {
        if (total < MIN_SAMPLES) {
            return OptionalLong.empty();
        }
        long rank = (long) Math.ceil(total * quantile);
        long seen = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            seen += counts[bucket];
            if (seen >= rank) {
                return OptionalLong.of(upperBound(bucket));
            }
        }
        return OptionalLong.empty();
    }

    private void fade() {
        total = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            counts[bucket] /= 2;
            total += counts[bucket];
        }
    }

    private static int bucket(long nanos) {
        if (nanos < SUB_BUCKETS) {
            return (int) nanos;
        }
        int shift = Long.SIZE - 1 - SUB_BITS - Long.numberOfLeadingZeros(nanos);
        int sub = (int) (nanos >>> shift) - SUB_BUCKETS;
        return (shift + 1) * SUB_BUCKETS + sub;
    }

    private static long upperBound(int bucket) {
        if (bucket < SUB_BUCKETS) {
            return bucket;
        }
        int shift = bucket / SUB_BUCKETS - 1;
        long base = SUB_BUCKETS + bucket % SUB_BUCKETS;
        return (base + 1 << shift) - 1;
    }
}
