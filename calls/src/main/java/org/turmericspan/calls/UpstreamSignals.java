package org.turmericspan.calls;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What an upstream said of itself in an answer or to a probe. All of it may be stale.
 *
 * @param running requests it says it runs
 * @param cold whether it says it is cold
 * @param leaving whether it says it is leaving
 * @param incarnation the life it says it is in
 */
public record UpstreamSignals(OptionalInt running, boolean cold, boolean leaving, Optional<String> incarnation) {
    /** Signals of an upstream that said nothing. */
    public static final UpstreamSignals NONE = new UpstreamSignals(OptionalInt.empty(), false, false, Optional.empty());
}
