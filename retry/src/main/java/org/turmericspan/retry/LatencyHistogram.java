package org.turmericspan.retry;

import java.util.OptionalLong;

/**
 * Histogram of recent latencies, in which each power of two is divided into eight buckets. Old samples decay
 * exponentially: whenever the histogram holds {@value #MAX_SAMPLES} samples, every count is halved.
 */
final class LatencyHistogram {
    /** Binary logarithm of the number of buckets per power of two. */
    private static final int SUB_BITS = 3;

    private static final int SUB_BUCKETS = 1 << SUB_BITS;
    private static final int BUCKETS = (Long.SIZE - SUB_BITS) * SUB_BUCKETS;
    private static final int MAX_SAMPLES = 2_000;
    /** Number of samples below which no quantile is known. */
    private static final int MIN_SAMPLES = 100;

    private final int[] counts = new int[BUCKETS];
    private int total;

    void record(long nanos) {
        if (total >= MAX_SAMPLES) {
            decay();
        }
        counts[bucket(Math.max(0, nanos))]++;
        total++;
    }

    /** Returns the upper bound of the bucket with the quantile, at most one eighth above it; empty if unknown. */
    OptionalLong quantileNanos(double quantile) {
        if (total < MIN_SAMPLES) {
            return OptionalLong.empty();
        }
        long rank = (long) Math.ceil(total * quantile);
        long cumulativeCount = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            cumulativeCount += counts[bucket];
            if (cumulativeCount >= rank) {
                return OptionalLong.of(upperBound(bucket));
            }
        }
        return OptionalLong.empty();
    }

    private void decay() {
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
        int subBucket = (int) (nanos >>> shift) - SUB_BUCKETS;
        return (shift + 1) * SUB_BUCKETS + subBucket;
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
