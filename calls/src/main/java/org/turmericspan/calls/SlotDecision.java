package org.turmericspan.calls;

import java.time.Duration;
import java.util.Optional;
import org.turmericspan.errors.ResultCode;

/** Decision on a {@link SlotRequest}. */
public sealed interface SlotDecision {
    /**
     * The request was granted a slot.
     *
     * @param lease right to run one request now
     */
    record Granted(SlotLease lease) implements SlotDecision {}

    /**
     * The request was denied.
     *
     * @param code reason
     * @param retryAfter time after which a retry makes sense
     */
    record Denied(ResultCode code, Optional<Duration> retryAfter) implements SlotDecision {}
}
