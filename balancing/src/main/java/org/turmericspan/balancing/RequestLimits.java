package org.turmericspan.balancing;

import java.util.concurrent.TimeUnit;

/**
 * Limits on the size and duration of what a caller sends.
 *
 * @param maxHeaderBytes largest size of a request head
 * @param maxBodyBytes largest size of a request body
 * @param headerTimeoutNanos longest time a head may take to arrive
 * @param idleTimeoutNanos longest time a keep-alive connection may stay idle
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutNanos, long idleTimeoutNanos) {
    private static final int DEFAULT_HEADER_BYTES = 16_384;
    private static final int DEFAULT_BODY_BYTES = 1_048_576;
    private static final long DEFAULT_HEADER_SECONDS = 10;
    private static final long DEFAULT_IDLE_SECONDS = 60;

    /** Limits that apply until a configuration sets others. */
    public static final RequestLimits DEFAULT = new RequestLimits(
            DEFAULT_HEADER_BYTES,
            DEFAULT_BODY_BYTES,
            TimeUnit.SECONDS.toNanos(DEFAULT_HEADER_SECONDS),
            TimeUnit.SECONDS.toNanos(DEFAULT_IDLE_SECONDS));
}
