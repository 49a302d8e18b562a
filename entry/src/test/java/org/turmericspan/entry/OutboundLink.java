package org.turmericspan.entry;

import java.util.concurrent.TimeUnit;

/** The link of a node, through which its responses leave one after the other. */
final class OutboundLink {
    /** Bandwidth; 0 for a link without a limit. */
    private long bytesPerSecond;

    private long freeNanos;

    void limit(long newBytesPerSecond) {
        bytesPerSecond = newBytesPerSecond;
    }

    /** Returns the time until the link has sent a response behind all earlier ones. */
    long transferMillis(int bytes, long nowNanos) {
        if (bytesPerSecond == 0) {
            return 0;
        }
        freeNanos = Math.max(nowNanos, freeNanos) + TimeUnit.SECONDS.toNanos(bytes) / bytesPerSecond;
        return TimeUnit.NANOSECONDS.toMillis(freeNanos - nowNanos);
    }
}
