package org.turmericspan.routing;

/** Why an upstream was last marked cold, that is, limited to few requests since it has or may have restarted. */
public enum ColdReason {
    /** It is new to this owner, whose takeover grace period ended without a handover. */
    NEW,
    /**
     * It returned to service, its VM was listed again or is no longer listed as leaving, or its address has changed.
     */
    RETURNED,
    /** It reported a new incarnation. */
    NEW_INCARNATION,
    /** It refused a connection. */
    CONNECTION_REFUSED,
    /** A connection was lost with a request in flight. */
    CONNECTION_LOST,
    /** It reported that it is cold. */
    REPORTED_COLD,
    /** Several successive service times were many times the mean. */
    LATENCY_JUMP,
    /** The previous owner handed it over as cold. */
    HANDED_OVER_COLD
}
