package org.turmericspan.caps;

/**
 * Whether a request is within the cap of its tenant.
 *
 * @param outcome the decision and where it comes from
 * @param retryAfterMillis time after which the request is expected to be within the cap; 0 when admitted
 * @param grantor node that gave the permit; empty when none was needed or given
 * @param ageMillis age of the permit; 0 when none was needed or given
 */
public record CapDecision(Outcome outcome, long retryAfterMillis, String grantor, long ageMillis) {
    /** The decision on a request of a tenant without a cap. */
    public static final CapDecision UNCAPPED = new CapDecision(Outcome.UNCAPPED, 0, "", 0);

    /** What was decided. */
    public enum Outcome {
        /** The tenant has no cap. */
        UNCAPPED,
        /** Admitted by a permit that this node held. */
        FROM_BATCH,
        /** Admitted by a permit that was asked for. */
        GRANTED,
        /** Refused: the tenant is over its cap. */
        OVER_CAP,
        /** Refused: no node that may decide has answered in time. */
        UNDECIDED
    }

    /**
     * Returns whether the request may be served.
     *
     * @return false when it is refused
     */
    public boolean isAdmitted() {
        return outcome == Outcome.UNCAPPED || outcome == Outcome.FROM_BATCH || outcome == Outcome.GRANTED;
    }
}
