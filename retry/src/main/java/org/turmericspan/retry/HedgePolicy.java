package org.turmericspan.retry;

import java.util.OptionalLong;
import org.turmericspan.calls.CallRequest;

/** Decides when a call that has no answer yet is sent to a second upstream as well. */
@FunctionalInterface
public interface HedgePolicy {
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
     * @param latencies says what most are
     * @return the policy
     */
    static HedgePolicy slowerThan(LatencySource latencies) {
        return request -> request.idempotent() && !request.retried()
                ? latencies.quantileNanos(request.service())
                : OptionalLong.empty();
    }
}
