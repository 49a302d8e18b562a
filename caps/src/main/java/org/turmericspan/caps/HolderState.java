package org.turmericspan.caps;

import java.util.concurrent.TimeUnit;
import org.turmericspan.caps.CapLimits.ShardLimits;

/** What a node remembers of one holder of a tenant's shards. Guarded by the lock of {@link CapNode}. */
final class HolderState {
    private static final long MIN_EMPTY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long MAX_EMPTY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long MIN_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    private static final int MAX_DOUBLINGS = 2;
    /** Divisor of the capacity that yields the level below which other shards are asked first. */
    private static final int LOW_DIVISOR = 2;

    private static final long MAX_LOW_NANOS = TimeUnit.SECONDS.toNanos(2);

    private long emptyUntilNanos;
    private long retryNanos;
    private long silentUntilNanos;
    private int silences;
    private boolean isEmptyKnown;
    private boolean isSilenceKnown;
    private long lowUntilNanos;
    private boolean isLowKnown;
    private int lapsed;
    private long lapsedNanos;

    boolean isEmpty(long nowNanos) {
        return isEmptyKnown && emptyUntilNanos - nowNanos > 0;
    }

    boolean isSilent(long nowNanos) {
        return isSilenceKnown && silentUntilNanos - nowNanos > 0;
    }

    /** Time at which a refused caller is expected to find a permit. */
    long retryNanos() {
        return retryNanos;
    }

    boolean isLow(long nowNanos) {
        return isLowKnown && lowUntilNanos - nowNanos > 0;
    }

    /** Time at which the shard has enough permits again to be asked before others. */
    long lowUntilNanos() {
        return lowUntilNanos;
    }

    void answered(CapAnswer answer, ShardLimits limits, long nowNanos) {
        silences = 0;
        isSilenceKnown = false;
        isEmptyKnown = false;
        double missing = limits.capacity() / LOW_DIVISOR - answer.left();
        isLowKnown = missing > 0;
        lowUntilNanos = nowNanos + (long) Math.min(MAX_LOW_NANOS, missing / limits.refillPerNano());
    }

    void becameEmpty(CapAnswer answer, long nowNanos) {
        long emptyNanos = TimeUnit.MILLISECONDS.toNanos(answer.emptyMillis());
        emptyUntilNanos = nowNanos + Math.max(MIN_EMPTY_NANOS, Math.min(MAX_EMPTY_NANOS, emptyNanos));
        retryNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(answer.retryMillis());
        isEmptyKnown = true;
    }

    /** Notes that the holder did not answer, so that it is not asked again for some time. */
    void wasSilent(long nowNanos) {
        silentUntilNanos = nowNanos + (MIN_SILENCE_NANOS << Math.min(MAX_DOUBLINGS, silences));
        silences++;
        isSilenceKnown = true;
    }

    /** Notes permits of the holder that have lapsed unused, to be returned with the next ask. */
    void lapsed(int count, long grantedNanos) {
        lapsed = count;
        lapsedNanos = grantedNanos;
    }

    /** Returns the lapsed permits once, unless they were granted too long ago. */
    int takeLapsed(long nowNanos) {
        long keptNanos = PermitShard.BATCH_LIFE_NANOS + PermitShard.RETURN_GRACE_NANOS;
        int count = nowNanos - lapsedNanos < keptNanos ? lapsed : 0;
        lapsed = 0;
        return count;
    }
}
