package org.turmericspan.forwarding;

import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.Route;
import org.turmericspan.errors.ResultCode;

/** Determines the Retry-After delay of a request that is refused after its route was found. */
final class RetryAfterRule {
    /** Divisor of the target latency that yields the usual delay. */
    private static final int TARGET_LATENCY_DIVISOR = 4;
    /** Delay after upstreams shed the request, which says little about whether the next one is shed. */
    private static final long SHED_MILLIS = 20;

    private RetryAfterRule() {}

    /**
     * Returns the delay.
     *
     * @param code why the request is refused
     * @param route route of the request
     * @return delay in milliseconds; 0 if another node can serve the request at once
     */
    static long delayMillis(ResultCode code, Route route) {
        return switch (code) {
            case STOPPING -> 0;
            case SHED_BY_UPSTREAM -> SHED_MILLIS;
            default -> TimeUnit.NANOSECONDS.toMillis(route.targetLatencyNanos() / TARGET_LATENCY_DIVISOR);
        };
    }
}
