package org.turmericspan.standins.upstream;

import java.time.Duration;

/**
 * Behavior of a stand-in upstream.
 *
 * @param slots maximum number of requests that run at a time
 * @param queueLimit maximum number of requests queued beyond the slots; further ones are shed
 * @param coldRequestLimit maximum number of requests in flight that a cold upstream survives; one more crashes it
 * @param warmAfterRequests number of requests finished since the start after which it is warm
 * @param restartDelay time from a crash until it listens again
 */
record UpstreamSettings(
        int slots, int queueLimit, int coldRequestLimit, int warmAfterRequests, Duration restartDelay) {}
