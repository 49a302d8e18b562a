package org.turmericspan.retry;

import java.time.Duration;
import java.util.Set;
import org.turmericspan.ids.UpstreamId;

/**
 * Suspicion that requests with one fingerprint crash upstreams, in the form in which nodes share it.
 *
 * @param fingerprint fingerprint of the requests
 * @param crashedUpstreams upstreams that crashed while they ran such a request; empty when the suspicion is cleared
 * @param crashedInIsolation whether an upstream crashed in an isolated trial of the request
 * @param remaining time until the suspicion expires
 */
public record Suspicion(
        Fingerprint fingerprint, Set<UpstreamId> crashedUpstreams, boolean crashedInIsolation, Duration remaining) {
    /** Number of crashed upstreams at which requests are quarantined. */
    private static final int QUARANTINE_CRASHES = 2;

    /** Copies the set. */
    public Suspicion {
        crashedUpstreams = Set.copyOf(crashedUpstreams);
    }

    /**
     * Returns the update that a request ran without a crash.
     *
     * @param fingerprint fingerprint of the request
     * @return a suspicion without crashed upstreams
     */
    public static Suspicion cleared(Fingerprint fingerprint) {
        return new Suspicion(fingerprint, Set.of(), false, Duration.ZERO);
    }

    /**
     * Returns whether the suspicion is cleared.
     *
     * @return true when no upstream crashed
     */
    public boolean isCleared() {
        return crashedUpstreams.isEmpty();
    }

    /**
     * Returns whether such requests are refused.
     *
     * @return true after crashes of two upstreams, or after one crash in an isolated trial
     */
    public boolean isQuarantined() {
        return crashedInIsolation || crashedUpstreams.size() >= QUARANTINE_CRASHES;
    }
}
