package org.turmericspan.forwarding;

import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.Route;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.StableHash;

/** Determines the Retry-After delay of a request that is refused after its route was found. */
final class RetryAfterRule {
    /** Delay at a stopping node, since another one can serve the request at once. */
    static final long STOPPING_MILLIS = 0;

    /** Delay of a request that is one of another tenant when it comes back. */
    private static final long KEY_MOVED_MILLIS = 0;

    /** Divisor of the target latency that yields the usual delay. */
    private static final int TARGET_LATENCY_DIVISOR = 4;
    /** Delay after upstreams shed the request, which says little about whether the next one is shed. */
    private static final long SHED_MILLIS = 20;
    /** Steps within one target latency over which callers return that wait for the same upstreams. */
    private static final int RETURN_STEPS = 8;

    private RetryAfterRule() {}

    /**
     * Returns the delay.
     *
     * @param code why the request is refused
     * @param route route of the request
     * @param untilAdmissionNanos time until an upstream takes requests again; {@link Long#MAX_VALUE} if none will
     * @param requestId identifier of the request, which decides its step among those that return together
     * @return delay in milliseconds; 0 if another node can serve the request at once
     */
    static long delayMillis(ResultCode code, Route route, long untilAdmissionNanos, String requestId) {
        if (code == ResultCode.STOPPING) {
            return STOPPING_MILLIS;
        }
        if (code == ResultCode.KEY_MOVED) {
            return KEY_MOVED_MILLIS;
        }
        if (code == ResultCode.SHED_BY_UPSTREAM) {
            return SHED_MILLIS;
        }
        long targetMillis = TimeUnit.NANOSECONDS.toMillis(route.targetLatencyNanos());
        long usualMillis = targetMillis / TARGET_LATENCY_DIVISOR;
        if (untilAdmissionNanos == 0 || untilAdmissionNanos == Long.MAX_VALUE) {
            return usualMillis;
        }
        long step = Math.floorMod(StableHash.of(requestId), RETURN_STEPS);
        return Math.max(
                usualMillis, TimeUnit.NANOSECONDS.toMillis(untilAdmissionNanos) + step * targetMillis / RETURN_STEPS);
    }
}
