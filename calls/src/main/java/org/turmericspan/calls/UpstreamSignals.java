package org.turmericspan.calls;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * State that an upstream reported in a response or to a probe. Any of it may be stale.
 *
 * @param running number of requests that the upstream runs
 * @param cold whether the upstream is cold
 * @param leaving whether the upstream is about to stop
 * @param incarnation incarnation of the upstream
 */
public record UpstreamSignals(OptionalInt running, boolean cold, boolean leaving, Optional<String> incarnation) {
    /** Signals of an upstream that reported nothing. */
    public static final UpstreamSignals NONE = new UpstreamSignals(OptionalInt.empty(), false, false, Optional.empty());
}
