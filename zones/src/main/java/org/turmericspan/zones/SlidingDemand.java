package org.turmericspan.zones;

import java.util.concurrent.TimeUnit;

/** Work that was asked for within the last second, in slots that it keeps busy. Guarded by its user's lock. */
final class SlidingDemand {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final int BUCKETS = 10;
    private static final long BUCKET_NANOS = WINDOW_NANOS / BUCKETS;

    private final double[] workNanos = new double[BUCKETS];
    private long currentBucket = Long.MIN_VALUE;

    void add(long requestWorkNanos, long nowNanos) {
        advance(nowNanos);
        workNanos[index(currentBucket)] += requestWorkNanos;
    }

    /** Returns the demand over the complete buckets and the one that fills. */
    double slots(long nowNanos) {
        advance(nowNanos);
        double sum = 0;
        for (double work : workNanos) {
            sum += work;
        }
        long filledNanos = WINDOW_NANOS - BUCKET_NANOS + nowNanos - currentBucket * BUCKET_NANOS;
        return sum / filledNanos;
    }

    private void advance(long nowNanos) {
        long bucket = Math.floorDiv(nowNanos, BUCKET_NANOS);
        if (bucket <= currentBucket) {
            return;
        }
        long firstStale = currentBucket == Long.MIN_VALUE ? bucket - BUCKETS + 1 : currentBucket + 1;
        for (long stale = Math.max(firstStale, bucket - BUCKETS + 1); stale <= bucket; stale++) {
            workNanos[index(stale)] = 0;
        }
        currentBucket = bucket;
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }
}
