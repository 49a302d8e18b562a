package org.turmericspan.retry;

import java.time.Duration;
import java.util.OptionalLong;
import org.turmericspan.calls.CallRequest;

/** Decides when a call without a response so far is also sent to a second upstream. */
@FunctionalInterface
public interface HedgePolicy {
    /** Minimum time without a response after which an attempt counts as stalled. */
    Duration MIN_STALL = Duration.ofMillis(200);

    /** Latency quantile assumed until enough calls have been recorded. */
    Duration DEFAULT_LATENCY = Duration.ofMillis(250);

    /** Multiple of the latency quantile after which an attempt counts as stalled. */
    int STALL_FACTOR = 4;

    /**
     * Returns the hedging delay of a call when its first attempt is sent. The retry budget is checked after the delay.
     *
     * @param request the call
     * @return nanoseconds after which to hedge, or empty for never
     */
    OptionalLong delayNanos(CallRequest request);

    /**
     * Returns the policy that never hedges.
     *
     * @return the policy
     */
    static HedgePolicy none() {
        return request -> OptionalLong.empty();
    }

    /**
     * Returns the policy that hedges an idempotent call once it exceeds a latency quantile of its service.
     *
     * @param quantile the latency quantile after which to hedge
     * @return the policy
     */
    static HedgePolicy afterQuantile(LatencyQuantile quantile) {
        return request -> request.idempotent() && !request.retried()
                ? quantile.quantileNanos(request.service())
                : OptionalLong.empty();
    }

    /**
     * Returns the policy that hedges an idempotent call only when it has had no response for so long that its
     * connection may be unresponsive.
     *
     * @param quantile a high latency quantile, which hardly any call exceeds
     * @return the policy
     */
    static HedgePolicy whenStalled(LatencyQuantile quantile) {
        return request -> {
            if (!request.idempotent() || request.retried()) {
                return OptionalLong.empty();
            }
            long latencyNanos = quantile.quantileNanos(request.service()).orElse(DEFAULT_LATENCY.toNanos());
            return OptionalLong.of(Math.max(MIN_STALL.toNanos(), STALL_FACTOR * latencyNanos));
        };
    }
}
