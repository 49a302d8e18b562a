package org.turmericspan.routing;

/** Why an upstream was last marked cold. */
public enum ColdReason {
    /** It is new to this owner, and no handover was received. */
    NEW,
    /** It returned to service. */
    RETURNED,
    /** It reported a new incarnation. */
    NEW_INCARNATION,
    /** It refused a connection. */
    CONNECTION_REFUSED,
    /** A connection was lost with a request in flight. */
    CONNECTION_LOST,
    /** It reported that it is cold. */
    REPORTED_COLD,
    /** Its latency rose many times over the mean. */
    LATENCY_JUMP,
    /** The previous owner handed it over as cold. */
    HANDED_OVER_COLD
}
