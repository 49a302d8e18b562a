package org.turmericspan.retry;

import java.time.Duration;
import java.util.OptionalLong;
import org.turmericspan.calls.CallRequest;

/** Decides when a call that has no answer yet is sent to a second upstream as well. */
@FunctionalInterface
public interface HedgePolicy {
    /** Shortest time without an answer that counts as a stall. */
    Duration SHORTEST_STALL = Duration.ofMillis(200);

    /** Latency assumed while too few calls were seen. */
    Duration UNKNOWN_LATENCY = Duration.ofMillis(250);

    /** Multiple of the usual latency that counts as a stall. */
    int STALL_FACTOR = 4;

    /**
     * Decides at the moment the first attempt is sent. The budget is asked when the delay has passed.
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
     * Returns the policy that hedges an idempotent call that is slower than most of its service.
     *
     * @param quantile says what most are
     * @return the policy
     */
    static HedgePolicy afterQuantile(LatencyQuantile quantile) {
        return request -> request.idempotent() && !request.retried()
                ? quantile.quantileNanos(request.service())
                : OptionalLong.empty();
    }

    /**
     * Returns the policy that tries another upstream only when an idempotent call has had no answer for so long that
     * its connection may be silent.
     *
     * @param quantile latencies that hardly any call exceeds
     * @return the policy
     */
    static HedgePolicy whenStalled(LatencyQuantile quantile) {
        return request -> {
            if (!request.idempotent() || request.retried()) {
                return OptionalLong.empty();
            }
            long usualNanos = quantile.quantileNanos(request.service()).orElse(UNKNOWN_LATENCY.toNanos());
            return OptionalLong.of(Math.max(SHORTEST_STALL.toNanos(), STALL_FACTOR * usualNanos));
        };
    }
}
