package org.turmericspan.calls;

import java.time.Duration;
import java.util.Optional;
import org.turmericspan.errors.ResultCode;

/** Answer to a {@link SlotRequest}. */
public sealed interface SlotDecision {
    /**
     * A slot was granted.
     *
     * @param lease right to run one request now
     */
    record Granted(SlotLease lease) implements SlotDecision {}

    /**
     * No slot was granted.
     *
     * @param code why
     * @param retryAfter when a new try makes sense
     */
    record Denied(ResultCode code, Optional<Duration> retryAfter) implements SlotDecision {}
}
