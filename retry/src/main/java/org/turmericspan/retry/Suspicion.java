package org.turmericspan.retry;

import java.time.Duration;
import java.util.Set;
import org.turmericspan.ids.UpstreamId;

/**
 * What is known of one suspected kind of request, as nodes share it.
 *
 * @param fingerprint the kind of request
 * @param crashedUpstreams upstreams that died while they ran it; empty when it is cleared
 * @param crashedInIsolation whether an upstream died that ran it alone
 * @param remaining how long the suspicion lasts
 */
public record Suspicion(
        Fingerprint fingerprint, Set<UpstreamId> crashedUpstreams, boolean crashedInIsolation, Duration remaining) {
    private static final int MOST_LOST = 2;

    /** Copies the set. */
    public Suspicion {
        crashedUpstreams = Set.copyOf(crashedUpstreams);
    }

    /**
     * Builds the news that a kind of request ran fine.
     *
     * @param fingerprint the kind of request
     * @return a suspicion without any upstream lost
     */
    public static Suspicion cleared(Fingerprint fingerprint) {
        return new Suspicion(fingerprint, Set.of(), false, Duration.ZERO);
    }

    /**
     * Tells whether the suspicion is lifted.
     *
     * @return true when no upstream was lost
     */
    public boolean isCleared() {
        return crashedUpstreams.isEmpty();
    }

    /**
     * Tells whether such requests are refused.
     *
     * @return true after the second death, or a death without company
     */
    public boolean isQuarantined() {
        return crashedInIsolation || crashedUpstreams.size() >= MOST_LOST;
    }
}
